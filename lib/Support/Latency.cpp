#include "egretturn/Support/Latency.h"

#include <cassert>

namespace egretturn {

static constexpr double kMinUs = 10;
static constexpr double kMaxUs = 1e9;
static constexpr unsigned kBins = 720; // 90 bins per decade, each 2.6% wide

LatencyHistogram::LatencyHistogram()
  : m_bins(std::make_tuple(Axis(kBins, kMinUs, kMaxUs)))
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
  assert(aFactor >= 0 && aFactor <= 1 && "the decay factor must be in [0, 1]");
  m_bins *= aFactor;
  m_count *= aFactor;
}

Duration
LatencyHistogram::Quantile(double aQuantile) const
{
  if (m_count <= 0) {
    return Duration::zero();
  }
  const double rank = aQuantile * m_count;
  double cumulative = 0;
  for (int bin = -1; bin <= static_cast<int>(kBins); ++bin) {
    cumulative += m_bins.at(bin);
    if (cumulative >= rank && cumulative > 0) {
      const double upper = m_bins.axis().value(std::min<int>(bin + 1, kBins));
      return Duration(static_cast<int64_t>(upper));
    }
  }
  return Duration(static_cast<int64_t>(kMaxUs));
}

} // namespace egretturn
