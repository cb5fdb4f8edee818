#include "Output.h"

#include <algorithm>
#include <iomanip>
#include <iostream>

namespace egretturn {

static std::string
CellText(const Json& aRow, const std::string& aColumn)
{
  const Json::const_iterator it = aRow.find(aColumn);
  if (it == aRow.end() || it->is_null()) {
    return "-";
  }
  if (it->is_boolean()) {
    return it->get<bool>() ? "yes" : "no";
  }
  return it->is_string() ? it->get<std::string>() : it->dump();
}

void
PrintTable(const Json& aRows, const std::vector<std::string>& aColumns)
{
  std::vector<size_t> widths;
  for (const std::string& column : aColumns) {
    size_t width = column.size();
    for (const Json& row : aRows) {
      width = std::max(width, CellText(row, column).size());
    }
    widths.push_back(width);
  }
  const auto printRow = [&](const auto& aCell) {
    for (size_t i = 0; i < aColumns.size(); ++i) {
      const bool last = i + 1 == aColumns.size();
      std::cout << std::left << std::setw(last ? 0 : static_cast<int>(widths[i]) + 2)
                << aCell(aColumns[i]);
    }
    std::cout << '\n';
  };
  printRow([](const std::string& aColumn) { return aColumn; });
  for (const Json& row : aRows) {
    printRow([&row](const std::string& aColumn) { return CellText(row, aColumn); });
  }
}

void
PrintObject(const Json& aObject)
{
  for (auto it = aObject.begin(); it != aObject.end(); ++it) {
    const std::string& name = it.key();
    const Json& value = it.value();
    if (!value.is_array()) {
      std::cout << std::left << std::setw(18) << name << CellText(aObject, name) << '\n';
    }
  }
}

void
PrintError(const Error& aError)
{
  std::cerr << "error: " << aError.m_message << "\nremedy: " << aError.m_remedy << '\n';
}

} // namespace egretturn
