#include "egretturn/Scheduler/RoomModel.h"

#include "egretturn/Scheduler/Packing.h"
#include "egretturn/Support/Log.h"

#include <algorithm>
#include <cmath>

namespace egretturn {

// Short reserved steps whose shapes are kept for a service.
static constexpr size_t kMaxShapes = 48;

static constexpr double kMeanGain = 0.05; // weight of a new step in the usual demand of its route
static constexpr double kRateSeconds = 10.0;   // over which the rate of a route is averaged
static constexpr double kMinRateSeconds = 2.0; // a route that is known for less has no higher rate

static constexpr Duration kUpdateInterval = std::chrono::milliseconds(250);

// Short work comes unevenly: room for this multiple of its mean load is ample.
static constexpr double kAmpleFactor = 4.0;

static double
ToSeconds(Duration aDuration)
{
  return static_cast<double>(ToMillis(aDuration)) / 1000.0;
}

static void
AddShape(std::deque<TaskShape>& aShapes, const TaskShape& aShape)
{
  aShapes.push_back(aShape);
  if (aShapes.size() > kMaxShapes) {
    aShapes.pop_front();
  }
}

/// Returns the thousandths of a core that \p aRoute keeps busy, by its rate until \p aNow.
static double
LoadOfRoute(const RouteShape& aRoute, Instant aNow)
{
  const double sinceUpdate = std::max(0.0, ToSeconds(aNow - aRoute.m_updatedAt));
  const double known = std::max(kMinRateSeconds, ToSeconds(aNow - aRoute.m_since));
  return aRoute.m_load * std::exp(-sinceUpdate / kRateSeconds) /
         (1.0 - std::exp(-known / kRateSeconds));
}

void
RoomModel::LearnShort(ServiceShapes& aShapes,
                      const std::string& aRoute,
                      const GraphStep& aStep,
                      bool aArrived,
                      Instant aNow)
{
  const double work = static_cast<double>(aStep.m_demand.m_cpuMilli) * aStep.m_count *
                      static_cast<double>(std::max<int64_t>(1, aStep.m_estimateMs)) / 1000.0;
  AddShape(aShapes.m_short, { aStep.m_demand.m_cpuMilli, work });
  const auto [it, added] = aShapes.m_routes.emplace(aRoute, RouteShape());
  RouteShape& route = it->second;
  if (added) {
    route.m_usual = aStep.m_demand;
    route.m_updatedAt = aNow;
    route.m_since = aNow;
  }
  const auto approach = [](int64_t& aMean, int64_t aValue) {
    aMean += static_cast<int64_t>(kMeanGain * static_cast<double>(aValue - aMean));
  };
  approach(route.m_usual.m_cpuMilli, aStep.m_demand.m_cpuMilli);
  approach(route.m_usual.m_memoryMb, aStep.m_demand.m_memoryMb);
  if (aArrived) {
    const double since = std::max(0.0, ToSeconds(aNow - route.m_updatedAt));
    route.m_load = route.m_load * std::exp(-since / kRateSeconds) + work / kRateSeconds;
    route.m_updatedAt = aNow;
  }
}

void
RoomModel::Learn(const JobTerms& aTerms, const Graph& aGraph, bool aArrived, Instant aNow)
{
  for (const GraphStep& step : aGraph.m_steps) {
    if (step.m_bestEffort || step.m_longRunning || step.m_demand.m_cpuMilli <= 0) {
      continue;
    }
    ServiceShapes& shapes = m_services[aTerms.m_service];
    shapes.m_changed = true;
    LearnShort(shapes, aTerms.m_route, step, aArrived, aNow);
  }
}

void
RoomModel::AddWorker(ServiceShapes& aShapes, const Worker& aWorker)
{
  const Demand& capacity = aWorker.m_report.m_capacity;
  const int64_t cpu = std::max<int64_t>(0, capacity.m_cpuMilli - aWorker.m_used.m_cpuMilli);
  const int64_t memory = std::max<int64_t>(0, capacity.m_memoryMb - aWorker.m_used.m_memoryMb);
  const double usable = aShapes.m_pieces.UsableOf(cpu);
  aShapes.m_room.m_free += cpu;
  aShapes.m_room.m_usable += usable;
  aShapes.m_room.m_splintered += static_cast<double>(cpu) - usable;
  for (std::pair<const std::string, RouteShape>& routeEntry : aShapes.m_routes) {
    const Demand& usual = routeEntry.second.m_usual;
    const int64_t byCpu = cpu / std::max<int64_t>(1, usual.m_cpuMilli);
    const int64_t byMemory = memory / std::max<int64_t>(1, usual.m_memoryMb);
    routeEntry.second.m_fitting += static_cast<uint64_t>(std::min(byCpu, byMemory));
  }
}

void
RoomModel::FindLargestWorkers(const Fleet& aFleet)
{
  for (const std::unique_ptr<Worker>& worker : aFleet.All()) {
    const auto it = m_services.find(worker->m_report.m_service);
    const int64_t capacity = worker->m_report.m_capacity.m_cpuMilli;
    if (it != m_services.end() && capacity > it->second.m_largestWorker) {
      it->second.m_largestWorker = capacity;
      it->second.m_changed = true;
    }
  }
}

void
RoomModel::StartMeasurement(ServiceShapes& aShapes)
{
  aShapes.m_room = Room();
  for (std::pair<const std::string, RouteShape>& routeEntry : aShapes.m_routes) {
    routeEntry.second.m_fitting = 0;
  }
  if (aShapes.m_changed) {
    aShapes.m_pieces =
      PieceTable({ aShapes.m_short.begin(), aShapes.m_short.end() }, aShapes.m_largestWorker);
    aShapes.m_changed = false;
  }
}

void
RoomModel::Update(const Fleet& aFleet, Instant aNow)
{
  if (aNow < m_nextUpdateAt) {
    return;
  }
  m_nextUpdateAt = aNow + kUpdateInterval;
  FindLargestWorkers(aFleet);
  for (std::pair<const std::string, ServiceShapes>& serviceEntry : m_services) {
    StartMeasurement(serviceEntry.second);
  }
  for (const std::unique_ptr<Worker>& worker : aFleet.All()) {
    const auto it = m_services.find(worker->m_report.m_service);
    if (it != m_services.end() && AcceptsWork(*worker, aNow)) {
      AddWorker(it->second, *worker);
    }
  }
  for (std::pair<const std::string, ServiceShapes>& serviceEntry : m_services) {
    Room& room = serviceEntry.second.m_room;
    const double load = LoadOf(serviceEntry.first, aNow);
    room.m_scarce = load > 0 && room.m_usable < kAmpleFactor * load;
  }
}

Room
RoomModel::RoomOf(const std::string& aService) const
{
  const auto it = m_services.find(aService);
  return it == m_services.end() ? Room() : it->second.m_room;
}

Room
RoomModel::TotalRoom() const
{
  Room total;
  for (const std::pair<const std::string, ServiceShapes>& serviceEntry : m_services) {
    const Room& room = serviceEntry.second.m_room;
    total.m_free += room.m_free;
    total.m_usable += room.m_usable;
    total.m_splintered += room.m_splintered;
    total.m_scarce = total.m_scarce || room.m_scarce;
  }
  return total;
}

uint64_t
RoomModel::CountFitting(const std::string& aService, const std::string& aRoute) const
{
  const auto it = m_services.find(aService);
  if (it == m_services.end()) {
    return 0;
  }
  const auto route = it->second.m_routes.find(aRoute);
  return route == it->second.m_routes.end() ? 0 : route->second.m_fitting;
}

double
RoomModel::LoadOf(const std::string& aService, Instant aNow) const
{
  const auto it = m_services.find(aService);
  double load = 0;
  if (it != m_services.end()) {
    for (const std::pair<const std::string, RouteShape>& routeEntry : it->second.m_routes) {
      load += LoadOfRoute(routeEntry.second, aNow);
    }
  }
  return load;
}

void
RoomModel::LogLines(Instant aNow) const
{
  for (const std::pair<const std::string, ServiceShapes>& serviceEntry : m_services) {
    const ServiceShapes& shapes = serviceEntry.second;
    for (const std::pair<const std::string, RouteShape>& routeEntry : shapes.m_routes) {
      Log(LogLine(LogLevel::Info, "room")
            .Add("service", serviceEntry.first)
            .Add("route", routeEntry.first)
            .Add("task_cpu", routeEntry.second.m_usual.m_cpuMilli)
            .Add("fitting", routeEntry.second.m_fitting)
            .Add("load", static_cast<int64_t>(LoadOfRoute(routeEntry.second, aNow)))
            .Add("free", shapes.m_room.m_free)
            .Add("usable", static_cast<int64_t>(shapes.m_room.m_usable))
            .Add("splintered", static_cast<int64_t>(shapes.m_room.m_splintered))
            .Add("scarce", shapes.m_room.m_scarce ? 1 : 0));
    }
  }
}

} // namespace egretturn
