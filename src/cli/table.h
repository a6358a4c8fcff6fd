#pragma once

#include <Poco/JSON/Object.h>

#include <ostream>

namespace geraniumpond::cli {

/// \brief Prints a JSON object: lists of objects as tables, the rest as lines.
void PrintTable(std::ostream& aOut, const Poco::JSON::Object& aObject);

} // namespace geraniumpond::cli
