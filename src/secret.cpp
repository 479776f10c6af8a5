#include "secret.h"

#include <glib.h>

namespace hickorypost {

std::string sha256_hex(std::string_view text)
{
    gchar* raw = g_compute_checksum_for_data(
        G_CHECKSUM_SHA256, reinterpret_cast<const guchar*>(text.data()), text.size());
    std::string out{raw};
    g_free(raw);
    return out;
}

bool equal_in_constant_time(std::string_view a, std::string_view b) noexcept
{
    if (a.size() != b.size()) {
        return false;
    }
    unsigned char difference = 0;
    for (std::size_t n = 0; n < a.size(); ++n) {
        difference |= static_cast<unsigned char>(a[n] ^ b[n]);
    }
    return difference == 0;
}

std::string_view bearer_key(std::string_view header) noexcept
{
    constexpr std::string_view scheme = "Bearer ";
    return header.starts_with(scheme) ? header.substr(scheme.size()) : std::string_view{};
}

} // namespace hickorypost
