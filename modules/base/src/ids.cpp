#include "hickorypost/base/ids.h"

#include <array>
#include <xxhash.h>

namespace hickorypost {

std::uint64_t hash_bytes(std::string_view bytes, std::uint64_t seed) noexcept
{
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

std::uint64_t hash_key(const request_key& key) noexcept
{
    return hash_bytes(key.request, hash_bytes(key.account));
}

std::string random_hex(const std::function<std::uint64_t()>& random)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string out;
    out.reserve(32);
    for (int half = 0; half < 2; ++half) {
        std::uint64_t bits = random();
        for (int n = 0; n < 16; ++n) {
            out.push_back(digits[bits & 0xFU]);
            bits >>= 4U;
        }
    }
    return out;
}

} // namespace hickorypost
