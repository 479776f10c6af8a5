#include "hickorypost/base/time.h"

#include <ctime>
#include <memory>
#include <random>

namespace hickorypost {

clock_fn system_clock_fn()
{
    return [] {
        const auto since_boot = std::chrono::steady_clock::now().time_since_epoch();
        return instant{std::chrono::duration_cast<micros>(since_boot)};
    };
}

clock_fn boot_clock_fn()
{
    return [] {
        timespec it{};
        clock_gettime(CLOCK_BOOTTIME, &it);
        return instant{std::chrono::duration_cast<micros>(std::chrono::seconds{it.tv_sec} +
                                                          std::chrono::nanoseconds{it.tv_nsec})};
    };
}

wall_clock_fn system_wall_clock_fn()
{
    return [] {
        const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
        return std::chrono::duration_cast<millis>(since_epoch).count();
    };
}

random_fn system_random_fn()
{
    std::random_device device;
    const auto high = static_cast<std::uint64_t>(device()) << 32U;
    return seeded_random_fn(high | device());
}

random_fn seeded_random_fn(std::uint64_t seed)
{
    auto engine = std::make_shared<std::mt19937_64>(seed);
    return [engine] { return (*engine)(); };
}

double unit_random(const random_fn& random)
{
    constexpr double scale =
        1.0 / 9007199254740992.0; // 2^-53: the results are evenly spaced and below 1
    return static_cast<double>(random() >> 11U) * scale;
}

} // namespace hickorypost
