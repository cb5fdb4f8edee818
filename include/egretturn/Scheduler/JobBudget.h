// Limits the memory that the jobs of a leader take, together and for each route.
#pragma once

#include <cstddef>
#include <string>
#include <unordered_map>

namespace egretturn {

/// Counts the bytes that jobs take and decides whether there is room for more. What is accepted is
/// counted whatever the limit, since it has to go on. Not thread-safe.
class JobBudget
{
public:
  /// \p aMaxBytes limits what all jobs take together.
  explicit JobBudget(size_t aMaxBytes)
    : m_maxBytes(aMaxBytes)
  {
  }

  /// Counts \p aBytes more of a job of \p aRoute.
  void Add(const std::string& aRoute, size_t aBytes);

  /// Counts \p aBytes less. \pre They were added.
  void Subtract(const std::string& aRoute, size_t aBytes);

  /// Returns whether a job of \p aRoute that takes \p aBytes may be accepted. Large jobs have to
  /// leave room for ordinary ones, and each route for the others.
  bool MayAccept(const std::string& aRoute, size_t aBytes) const;

  /// Returns whether an accepted job may take \p aBytes more before it needs them. Half of the
  /// limit is kept for other jobs.
  bool MayGrow(size_t aBytes) const { return m_bytes + aBytes <= m_maxBytes / 2; }

  size_t Bytes() const { return m_bytes; }
  size_t MaxBytes() const { return m_maxBytes; }

private:
  size_t m_maxBytes;
  size_t m_bytes = 0;
  std::unordered_map<std::string, size_t> m_bytesOfRoute; ///< Without those of no jobs.
};

} // namespace egretturn
