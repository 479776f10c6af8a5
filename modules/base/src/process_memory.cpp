#include "hickorypost/base/process_memory.h"

#include <fstream>
#include <unistd.h>

namespace hickorypost {

std::size_t resident_memory_bytes()
{
    std::ifstream in{"/proc/self/statm"};
    std::size_t virtual_pages = 0;
    std::size_t resident_pages = 0;
    if (!(in >> virtual_pages >> resident_pages)) {
        return 0;
    }
    const long page = ::sysconf(_SC_PAGESIZE);
    return page > 0 ? resident_pages * static_cast<std::size_t>(page) : 0;
}

} // namespace hickorypost
