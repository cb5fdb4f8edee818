#include "egretturn/Placement/ReservationEstimator.h"

#include <algorithm>
#include <cmath>

namespace egretturn {

static constexpr double kMinRatio = 1.0 / 64;
static constexpr double kMaxRatio = 64;
static constexpr unsigned kBins = 120; // 10 per doubling
static constexpr uint32_t kMinSamples = 5;
static constexpr double kProcessorQuantile = 0.9; // processor use can be throttled
static constexpr double kMemoryQuantile = 0.99;   // memory use cannot
static constexpr double kProcessorMargin = 1.05;
static constexpr double kMemoryMargin = 1.15;
static constexpr double kMinDeclaredShare = 0.08; // of the declared amount

RatioHistogram::RatioHistogram()
  : m_bins(std::make_tuple(Axis(kBins, kMinRatio, kMaxRatio)))
{
}

void
RatioHistogram::Record(double aRatio)
{
  m_bins(std::clamp(aRatio, kMinRatio, kMaxRatio * 0.999));
  m_count += 1;
}

double
RatioHistogram::Quantile(double aQuantile) const
{
  if (m_count <= 0) {
    return 1;
  }
  const double rank = aQuantile * m_count;
  double cumulative = 0;
  for (int bin = 0; bin < static_cast<int>(kBins); ++bin) {
    cumulative += m_bins.at(bin);
    if (cumulative >= rank) {
      return m_bins.axis().value(bin + 1);
    }
  }
  return kMaxRatio;
}

void
ReservationEstimator::Record(const Resources& aDeclared, const Resources& aPeak)
{
  ++m_samples;
  const auto ratio = [](int64_t aUsed, int64_t aExpected) {
    return static_cast<double>(aUsed) / static_cast<double>(std::max<int64_t>(aExpected, 1));
  };
  m_processors.Record(ratio(aPeak.m_milliCores, aDeclared.m_milliCores));
  m_memory.Record(ratio(aPeak.m_memoryMb, aDeclared.m_memoryMb));
}

static int64_t
Scale(int64_t aDeclared, double aRatio)
{
  const double scaled = static_cast<double>(aDeclared) * std::max(aRatio, kMinDeclaredShare);
  return std::max<int64_t>(1, static_cast<int64_t>(std::ceil(scaled)));
}

Resources
ReservationEstimator::Reservation(const Resources& aDeclared) const
{
  if (m_samples < kMinSamples) {
    return aDeclared;
  }
  Resources size = aDeclared; // accelerators are counted, not measured
  size.m_milliCores =
    Scale(aDeclared.m_milliCores, m_processors.Quantile(kProcessorQuantile) * kProcessorMargin);
  size.m_memoryMb = Scale(aDeclared.m_memoryMb, m_memory.Quantile(kMemoryQuantile) * kMemoryMargin);
  return size;
}

} // namespace egretturn
