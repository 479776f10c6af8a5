/// Time of one routing decision as the fleet grows, against plain random choice in the same run.

#include "hickorypost/routing/router.h"

#include <array>
#include <chrono>
#include <cstdio>

namespace {

using namespace hickorypost;

constexpr std::size_t decisions = 200'000;

double micros_per_decision(routing::policy how, std::size_t replicas)
{
    routing::router router{{.how = how}, seeded_random_fn(1)};
    const instant start{millis{1000}};
    for (std::size_t n = 0; n < replicas; ++n) {
        wire::agent_info info;
        info.node = "a" + std::to_string(n);
        wire::backend_info backend;
        backend.name = "engine";
        backend.offers = {{"m", "1"}};
        backend.slots = 16;
        info.backends.push_back(std::move(backend));
        router.upsert(info, start);
        router.set_linked(info.node, true, start);
    }
    const auto began = std::chrono::steady_clock::now();
    for (std::size_t n = 0; n < decisions; ++n) {
        const instant now = start + micros{static_cast<std::int64_t>(n * 300)};
        const auto choice = router.choose({{"m", "1"}, 1 + n % 500, 200, {}}, now);
        router.started(choice->backend, 1 + n % 500, now);
        router.ended(choice->backend, {false, millis{12}, choice->modelled_first, millis{90}}, now);
    }
    const std::chrono::duration<double, std::micro> took = std::chrono::steady_clock::now() - began;
    return took.count() / static_cast<double>(decisions);
}

} // namespace

int main()
{
    std::printf(
        "replicas  expected_time us  random us  ratio  (choose, start and end of a request)\n");
    for (const std::size_t replicas : {std::size_t{9}, std::size_t{100}, std::size_t{600}}) {
        const double ours = micros_per_decision(routing::policy::expected_time, replicas);
        const double plain = micros_per_decision(routing::policy::random, replicas);
        std::printf("%8zu  %16.2f  %9.2f  %5.1f\n", replicas, ours, plain, ours / plain);
    }
    return 0;
}
