/// Time of one choice of a backend server at a gateway host, against a random choice in the same
/// run.

#include "hickorypost/gateway/load_balancer.h"
#include "hickorypost/gateway/load_table.h"

#include <chrono>
#include <cstdio>

namespace {

using namespace hickorypost;
using namespace hickorypost::gateway;

constexpr std::size_t decisions = 20'000;
const instant start{millis{1000}};

struct fleet {
    explicit fleet(std::size_t backends)
    {
        for (std::size_t n = 0; n < backends; ++n) {
            const std::string id = "i-" + std::to_string(100'000 + n);
            directory.take(
                {id, "llm", "h:" + std::to_string(n), "d", "v1", 64, backend_state::ready, 0, 1},
                start);
        }
        all = directory.usable("llm", start);
    }

    backend_directory directory{{}};
    std::vector<const backend_entry*> all;
};

double micros_per_choice(const fleet& it, std::size_t processes, bool by_cost)
{
    load_balancer balancer{{}, "d", seeded_random_fn(1), [](const auto&, const auto&) {}};
    const auto random = seeded_random_fn(2);
    load_table table{{}};
    job_size job;
    job.prompt_tokens = 6000;
    job.model = "m";
    const auto began = std::chrono::steady_clock::now();
    for (std::size_t n = 0; n < decisions; ++n) {
        const instant now = start + micros{static_cast<std::int64_t>(n * 2000)};
        if (n % 50 == 0) {
            for (std::size_t p = 0; p < processes; ++p) {
                const auto& backend = it.all[(n + p) % it.all.size()]->record.id;
                table.set("p" + std::to_string(p), backend, {3, 20});
                balancer.set_remote_load(backend, table.without("self", backend));
            }
        }
        job.parts = {{n % 90, 5000}, {1000 + n, 1000}};
        const auto* const to =
            by_cost ? balancer.choose(it.all, job, {}, now) : it.all[random() % it.all.size()];
        auto ticket = balancer.started(*to, job, now);
        balancer.on_first_event(ticket, now);
        balancer.ended(ticket, attempt_result::answered, now);
    }
    const std::chrono::duration<double, std::micro> took = std::chrono::steady_clock::now() - began;
    return took.count() / static_cast<double>(decisions);
}

} // namespace

int main()
{
    std::printf("backends  processes  by cost us  random us  ratio  (choose, start and end)\n");
    for (const auto& [backends, processes] : {std::pair{12, 8}, std::pair{60, 28}}) {
        const fleet it{static_cast<std::size_t>(backends)};
        const auto n = static_cast<std::size_t>(processes);
        const double ours = micros_per_choice(it, n, true);
        const double plain = micros_per_choice(it, n, false);
        std::printf("%8d  %9d  %10.2f  %9.2f  %5.1f\n", backends, processes, ours, plain,
                    ours / plain);
    }
    return 0;
}
