// Estimates the resources to reserve for a task from the observed peaks of its kind, because
// declared sizes are inaccurate.
#pragma once

#include "egretturn/Config/Model.h"

#include <boost/histogram.hpp>

namespace egretturn {

/// Histogram of the peak use of one resource, relative to the declared amount. Not thread-safe.
class RatioHistogram
{
public:
  RatioHistogram();
  /// Adds a sample: the ratio of the peak use to the declared amount.
  void Record(double aRatio);

  /// Returns the upper edge of the bin that contains the quantile, or 1 without samples.
  double Quantile(double aQuantile) const;

private:
  using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
  boost::histogram::histogram<std::tuple<Axis>, boost::histogram::dense_storage<double>> m_bins;
  double m_count = 0;
};

/// Estimates the resources to reserve for tasks of one batch kind. Not thread-safe.
class ReservationEstimator
{
public:
  /// Records the peak use of an attempt that ended.
  void Record(const Resources& aDeclared, const Resources& aPeak);

  /// Returns the resources to reserve. These are the declared ones until enough attempts have been
  /// recorded.
  Resources Reservation(const Resources& aDeclared) const;

  /// Returns the number of recorded attempts.
  uint32_t Samples() const { return m_samples; }

private:
  RatioHistogram m_processors;
  RatioHistogram m_memory;
  uint32_t m_samples = 0;
};

} // namespace egretturn
