// What to reserve for a task of a kind: learnt from the observed peaks, since declared sizes are
// off.
#pragma once

#include "egretturn/Config/Model.h"

#include <boost/histogram.hpp>

namespace egretturn {

/// Peaks of one amount, as ratios to the declared amount. Not thread-safe.
class RatioHistogram
{
public:
  RatioHistogram();
  void Record(double aRatio);

  /// Upper edge of the bin that holds the quantile; 1 without samples.
  double Quantile(double aQuantile) const;

private:
  using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
  boost::histogram::histogram<std::tuple<Axis>, boost::histogram::dense_storage<double>> m_bins;
  double m_count = 0;
};

/// Observed use of one batch kind. Not thread-safe.
class ReservationEstimator
{
public:
  /// Takes the peak use of an attempt that ended.
  void Record(const Resources& aDeclared, const Resources& aPeak);

  /// What to reserve. Until enough attempts were seen, what was declared.
  Resources Reservation(const Resources& aDeclared) const;

  uint32_t Samples() const { return m_samples; }

private:
  RatioHistogram m_processors;
  RatioHistogram m_memory;
  uint32_t m_samples = 0;
};

} // namespace egretturn
