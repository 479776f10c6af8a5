#include "hickorypost/net/listen_error.h"

#include <cerrno>
#include <system_error>
#include <utility>

namespace hickorypost::net {

bool is_transient_listen_error(int error) noexcept
{
    switch (error) {
    case EADDRINUSE:
    case EADDRNOTAVAIL:
    case EMFILE:
    case ENFILE:
    case ENOBUFS:
    case ENOMEM:
        return true;
    default:
        return false;
    }
}

listen_error make_listen_error(std::string address, int error)
{
    return {std::move(address), std::generic_category().message(error),
            is_transient_listen_error(error)};
}

} // namespace hickorypost::net
