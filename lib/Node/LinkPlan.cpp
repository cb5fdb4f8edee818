#include "egretturn/Node/LinkPlan.h"

#include "egretturn/Support/Random.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace egretturn {

static constexpr double kWorkersPerCore = 600.0;

// The chosen instances can carry this many times their workers, so that the others can take over
// those of a lost one.
static constexpr double kSpareFactor = 1.5;

// A zone's workers are spread over at least this many instances, if there are so many.
static constexpr size_t kMinInstancesPerZone = 2;

size_t
LinkCapacity(double aWeight)
{
  return static_cast<size_t>(std::max(1.0, aWeight * kWorkersPerCore));
}

/// An instance, and how many more workers it can carry.
struct LinkPlan::Budget
{
  LinkInstance m_instance;
  size_t m_left = 0;
};

LinkPlan::LinkPlan(std::vector<LinkInstance> aInstances,
                   const std::map<std::string, size_t>& aWorkersByZone,
                   const std::map<std::string, std::string>& aRegionOf)
{
  std::vector<Budget> budgets;
  for (LinkInstance& instance : aInstances) {
    const size_t capacity = LinkCapacity(instance.m_weight);
    budgets.push_back({ std::move(instance), capacity });
  }
  for (const std::pair<const std::string, size_t>& zoneEntry : aWorkersByZone) {
    ChooseForZone(zoneEntry.first, zoneEntry.second, aRegionOf, budgets);
  }
}

static std::string
RegionOf(const std::map<std::string, std::string>& aRegionOf, const std::string& aZone)
{
  const auto it = aRegionOf.find(aZone);
  return it == aRegionOf.end() ? std::string() : it->second;
}

void
LinkPlan::ChooseForZone(const std::string& aZone,
                        size_t aWorkers,
                        const std::map<std::string, std::string>& aRegionOf,
                        std::vector<Budget>& aBudgets)
{
  const std::string region = RegionOf(aRegionOf, aZone);
  const auto distance = [&](const LinkInstance& aInstance) {
    return aInstance.m_zone == aZone ? 0 : aInstance.m_region == region ? 1 : 2;
  };
  std::vector<Budget*> order;
  order.reserve(aBudgets.size());
  for (Budget& budget : aBudgets) {
    order.push_back(&budget);
  }
  std::sort(order.begin(), order.end(), [&](const Budget* aLeft, const Budget* aRight) {
    const LinkInstance& left = aLeft->m_instance;
    const LinkInstance& right = aRight->m_instance;
    return std::tuple(distance(left), -left.m_weight, left.m_id) <
           std::tuple(distance(right), -right.m_weight, right.m_id);
  });
  const size_t needed =
    static_cast<size_t>(std::ceil(static_cast<double>(aWorkers) * kSpareFactor));
  std::vector<LinkInstance>& chosen = m_byZone[aZone];
  size_t capacity = 0;
  for (Budget* budget : order) {
    const bool enough = capacity >= needed && chosen.size() >= kMinInstancesPerZone;
    if (enough || (capacity >= aWorkers && distance(budget->m_instance) > 0)) {
      break; // spare capacity alone does not justify a remote connection
    }
    if (budget->m_left == 0) {
      continue;
    }
    chosen.push_back(budget->m_instance);
    capacity += budget->m_left;
  }
  // Each of them gets a part of the workers by its weight.
  double weight = 0;
  for (const LinkInstance& instance : chosen) {
    weight += instance.m_weight;
  }
  for (Budget* budget : order) {
    const auto it = std::find(chosen.begin(), chosen.end(), budget->m_instance);
    if (it != chosen.end()) {
      const double share = static_cast<double>(aWorkers) * it->m_weight / weight;
      budget->m_left -= std::min(budget->m_left, static_cast<size_t>(std::ceil(share)));
    }
  }
  m_sufficient = m_sufficient && capacity >= aWorkers;
}

/// Returns how much \p aWorker prefers \p aInstance: rendezvous hashing, weighted so that instances
/// get workers in proportion to their weights.
static double
PreferenceOf(std::string_view aWorker, const LinkInstance& aInstance)
{
  const uint64_t hash = HashBytes(aInstance.m_id, HashBytes(aWorker));
  const double unit = (static_cast<double>(hash >> 11) + 0.5) * 0x1.0p-53;
  return -aInstance.m_weight / std::log(unit);
}

const LinkInstance*
LinkPlan::Find(std::string_view aWorker, const std::string& aZone, size_t aChoice) const
{
  const auto it = m_byZone.find(aZone);
  if (it == m_byZone.end() || it->second.empty()) {
    return nullptr;
  }
  const std::vector<LinkInstance>& instances = it->second;
  std::vector<std::pair<double, const LinkInstance*>> ranked;
  ranked.reserve(instances.size());
  for (const LinkInstance& instance : instances) {
    ranked.emplace_back(PreferenceOf(aWorker, instance), &instance);
  }
  std::sort(ranked.begin(), ranked.end(), [](const auto& aLeft, const auto& aRight) {
    return aLeft.first > aRight.first;
  });
  return ranked[aChoice % ranked.size()].second;
}

} // namespace egretturn
