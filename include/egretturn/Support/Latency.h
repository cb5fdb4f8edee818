// Latency histogram with logarithmic bins, on Boost.Histogram.
#pragma once

#include "egretturn/Support/Time.h"

#include <boost/histogram.hpp>

namespace egretturn {

/// A latency distribution from 10 us to 1,000 s with a relative error of about 4%.
/// Not thread-safe.
class LatencyHistogram
{
public:
  LatencyHistogram();

  void Record(Duration aLatency);

  /// Multiplies all counts by \p aFactor, so that old samples lose weight. \pre 0 <= aFactor <= 1.
  void Decay(double aFactor);

  /// Returns the latency that the share \p aQuantile of the samples does not exceed, or zero if
  /// there are no samples.
  Duration Quantile(double aQuantile) const;

  /// Returns the number of samples, weighted by decay.
  double Count() const { return m_count; }

private:
  using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
  boost::histogram::histogram<std::tuple<Axis>, boost::histogram::dense_storage<double>> m_bins;
  double m_count = 0;
};

} // namespace egretturn
