#pragma once

#include <cstddef>

namespace hickorypost {

/// Resident memory of this process in bytes; 0 if the system does not tell it.
std::size_t resident_memory_bytes();

/// Keeps large allocations apart from the heap, so that their memory returns to the system as soon
/// as they are freed. Call before threads are started.
void set_up_allocator();

/// Returns freed memory inside the heap to the system.
void release_freed_memory();

/// Memory of the machine in bytes; 0 if the system does not tell it.
std::size_t machine_memory_bytes();

} // namespace hickorypost
