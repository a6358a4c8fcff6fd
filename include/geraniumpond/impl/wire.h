#pragma once

/// \brief Generated message types, without the warnings of generated code.

#pragma GCC diagnostic push
#pragma GCC diagnostic ignored "-Wall"
#pragma GCC diagnostic ignored "-Wextra"
#include <geraniumpond/impl/fleet.pb.h>
#include <geraniumpond/impl/geraniumpond.pb.h>
#pragma GCC diagnostic pop
