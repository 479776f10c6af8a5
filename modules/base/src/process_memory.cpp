#include "hickorypost/base/process_memory.h"

#include "hickorypost/base/buffer.h"

#include <fstream>
#include <malloc.h>
#include <unistd.h>

namespace hickorypost {

namespace {

std::size_t page_bytes()
{
    const long out = ::sysconf(_SC_PAGESIZE);
    return out > 0 ? static_cast<std::size_t>(out) : 0;
}

} // namespace

std::size_t resident_memory_bytes()
{
    std::ifstream in{"/proc/self/statm"};
    std::size_t virtual_pages = 0;
    std::size_t resident_pages = 0;
    if (!(in >> virtual_pages >> resident_pages)) {
        return 0;
    }
    return resident_pages * page_bytes();
}

void set_up_allocator()
{
    // Setting the threshold also keeps the C library from raising it to the size of the largest
    // allocation that has been freed.
    ::mallopt(M_MMAP_THRESHOLD, static_cast<int>(large_allocation_bytes));
}

void release_freed_memory()
{
    ::malloc_trim(0);
}

std::size_t machine_memory_bytes()
{
    const long pages = ::sysconf(_SC_PHYS_PAGES);
    return pages > 0 ? static_cast<std::size_t>(pages) * page_bytes() : 0;
}

} // namespace hickorypost
