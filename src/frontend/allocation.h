#pragma once

namespace geraniumpond::frontend {

/// \brief Makes the allocator give large buffers back to the system as soon as
/// they are freed, and take memory for them only as far as it is written to.
void ReturnLargeBuffers() noexcept;

} // namespace geraniumpond::frontend
