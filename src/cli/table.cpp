#include "table.h"

#include <Poco/JSON/Array.h>

#include <algorithm>
#include <iomanip>
#include <map>
#include <string>
#include <vector>

namespace geraniumpond::cli {

namespace {

using Poco::JSON::Array;
using Poco::JSON::Object;

bool IsTable(const Poco::Dynamic::Var& aValue)
{
  if (aValue.type() != typeid(Array::Ptr)) {
    return false;
  }
  const auto& array = aValue.extract<Array::Ptr>();
  return array->size() > 0 && array->get(0).type() == typeid(Object::Ptr);
}

std::string CellOf(const Object& aRow, const std::string& aColumn)
{
  return aRow.has(aColumn) ? aRow.get(aColumn).toString() : "-";
}

std::vector<std::string> ColumnsOf(const Array& aRows)
{
  std::vector<std::string> columns;
  for (const auto& row : aRows) {
    for (const std::string& name : row.extract<Object::Ptr>()->getNames()) {
      if (std::find(columns.begin(), columns.end(), name) == columns.end()) {
        columns.push_back(name);
      }
    }
  }
  return columns;
}

void PrintRows(std::ostream& aOut, const Array& aRows)
{
  const std::vector<std::string> columns = ColumnsOf(aRows);
  std::map<std::string, std::size_t> widths;
  for (const std::string& column : columns) {
    widths[column] = column.size();
    for (const auto& row : aRows) {
      const std::string cell = CellOf(*row.extract<Object::Ptr>(), column);
      widths[column] = std::max(widths[column], cell.size());
    }
  }
  const auto print = [&](const std::string& aColumn, const std::string& aCell) {
    aOut << "  " << std::left << std::setw(static_cast<int>(widths[aColumn]))
         << aCell;
  };
  for (const std::string& column : columns) {
    print(column, column);
  }
  aOut << "\n";
  for (const auto& row : aRows) {
    for (const std::string& column : columns) {
      print(column, CellOf(*row.extract<Object::Ptr>(), column));
    }
    aOut << "\n";
  }
}

} // namespace

void PrintTable(std::ostream& aOut, const Object& aObject)
{
  for (const std::string& name : aObject.getNames()) {
    const Poco::Dynamic::Var value = aObject.get(name);
    if (IsTable(value)) {
      aOut << name << ":\n";
      PrintRows(aOut, *value.extract<Array::Ptr>());
    } else if (value.type() == typeid(Object::Ptr)) {
      aOut << name << ":\n";
      PrintTable(aOut, *value.extract<Object::Ptr>());
    } else {
      aOut << name << ": " << value.toString() << "\n";
    }
  }
}

} // namespace geraniumpond::cli
