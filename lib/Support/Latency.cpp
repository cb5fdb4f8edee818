#include "egretturn/Support/Latency.h"

#include <cassert>

namespace egretturn {

static constexpr double kLowestUs = 10;
static constexpr double kHighestUs = 1e9;
static constexpr unsigned kBins = 720; // 90 bins a decade, 2.6% each

LatencyHistogram::LatencyHistogram()
  : m_bins(std::make_tuple(Axis(kBins, kLowestUs, kHighestUs)))
{
}

void
LatencyHistogram::Record(Duration aLatency)
{
  m_bins(static_cast<double>(std::max<int64_t>(aLatency.count(), 1)));
  m_count += 1;
}

void
LatencyHistogram::Decay(double aFactor)
{
  assert(aFactor >= 0 && aFactor <= 1 && "decay shrinks counts");
  m_bins *= aFactor;
  m_count *= aFactor;
}

Duration
LatencyHistogram::Quantile(double aQuantile) const
{
  if (m_count <= 0) {
    return Duration::zero();
  }
  const double wanted = aQuantile * m_count;
  double seen = 0;
  for (int bin = -1; bin <= static_cast<int>(kBins); ++bin) {
    seen += m_bins.at(bin);
    if (seen >= wanted && seen > 0) {
      const double upper = m_bins.axis().value(std::min<int>(bin + 1, kBins));
      return Duration(static_cast<int64_t>(upper));
    }
  }
  return Duration(static_cast<int64_t>(kHighestUs));
}

} // namespace egretturn
