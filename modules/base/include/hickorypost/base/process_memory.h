#pragma once

#include <cstddef>

namespace hickorypost {

/// Resident memory of this process in bytes; 0 if the system does not tell it.
std::size_t resident_memory_bytes();

/// Memory of the machine in bytes; 0 if the system does not tell it.
std::size_t machine_memory_bytes();

} // namespace hickorypost
