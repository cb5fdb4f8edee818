#include "egretturn/Config/Model.h"

#include "egretturn/Support/Random.h"

namespace egretturn {

Resources&
Resources::operator+=(const Resources& aOther)
{
  m_milliCores += aOther.m_milliCores;
  m_memoryMb += aOther.m_memoryMb;
  m_accelerators += aOther.m_accelerators;
  return *this;
}

Resources&
Resources::operator-=(const Resources& aOther)
{
  m_milliCores -= aOther.m_milliCores;
  m_memoryMb -= aOther.m_memoryMb;
  m_accelerators -= aOther.m_accelerators;
  return *this;
}

bool
Resources::FitsIn(const Resources& aCapacity) const
{
  return m_milliCores <= aCapacity.m_milliCores && m_memoryMb <= aCapacity.m_memoryMb &&
         m_accelerators <= aCapacity.m_accelerators;
}

Resources
operator+(Resources aLeft, const Resources& aRight)
{
  aLeft += aRight;
  return aLeft;
}

Resources
operator-(Resources aLeft, const Resources& aRight)
{
  aLeft -= aRight;
  return aLeft;
}

WorkerId
WorkerIdOf(std::string_view aAddress)
{
  return static_cast<WorkerId>(HashBytes(aAddress));
}

} // namespace egretturn
