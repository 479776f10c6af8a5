/// What hosts tell each other about crashing requests and limits: bytes, and the price of the
/// checks on the request path, with the choice of a backend server measured in the same run.

#include "hickorypost/gateway/crash_ledger.h"
#include "hickorypost/gateway/load_balancer.h"
#include "hickorypost/gateway/permit_coordinator.h"
#include "hickorypost/wire/codec.h"
#include "hickorypost/wire/messages.h"

#include <chrono>
#include <cstdio>
#include <memory>

namespace {

using namespace hickorypost;
using namespace hickorypost::gateway;

constexpr std::size_t rounds = 200'000;
const instant start{millis{1000}};

template <class Body>
double nanos_each(const Body& body)
{
    const auto began = std::chrono::steady_clock::now();
    for (std::size_t n = 0; n < rounds; ++n) {
        body(n);
    }
    const std::chrono::duration<double, std::nano> took = std::chrono::steady_clock::now() - began;
    return took.count() / static_cast<double>(rounds);
}

void measure_path()
{
    const std::string body(24'000, 'b');
    const identity_parts parts{"kuzgun", "bara8.example", "POST", "/finy551/2f", body};
    crash_ledger empty{{}, [] { return start; }, [](const crash_fact&) {}};
    crash_ledger known{{}, [] { return start; }, [](const crash_fact&) {}};
    for (std::uint64_t n = 0; n < 100; ++n) {
        known.crashed({n, n}, "i-" + std::to_string(n % 5), 0);
    }
    std::size_t found = 0;
    const double idle = nanos_each([&](std::size_t) { found += empty.empty() ? 0 : 1; });
    const double outline =
        nanos_each([&](std::size_t) { found += known.may_contain(outline_of(parts)) ? 1 : 0; });
    const double standing = nanos_each([&](std::size_t n) {
        found += known.standing_of({n % 100, n % 100}) == crash_ledger::standing::refused ? 1 : 0;
    });

    backend_directory directory{{}};
    for (std::size_t n = 0; n < 12; ++n) {
        const std::string id = "i-" + std::to_string(100'000 + n);
        directory.take(
            {id, "llm", "h:" + std::to_string(n), "d", "v1", 64, backend_state::ready, 0, 1},
            start);
    }
    const auto candidates = directory.usable("llm", start);
    load_balancer balancer{{}, "d", seeded_random_fn(1), [](const auto&, const auto&) {}};
    job_size job;
    job.prompt_tokens = 6000;
    const double choice = nanos_each([&](std::size_t) {
        found += balancer.choose(candidates, job, {}, start) == nullptr ? 1 : 0;
    });
    std::printf("ns a request, %zu backend servers: choice %.0f; suspects, none %.1f; outline of "
                "one that is not known %.0f; standing of one that is %.0f (%zu)\n",
                candidates.size(), choice, idle, outline, standing, found % 2);
    constexpr std::size_t few = 100;
    const auto began = std::chrono::steady_clock::now();
    for (std::size_t n = 0; n < few; ++n) {
        found += identity_of(parts).digest % 2;
    }
    const std::chrono::duration<double, std::micro> took = std::chrono::steady_clock::now() - began;
    std::printf("us for the identity of a body of 24 KB, where a connection was lost: %.0f (%zu)\n",
                took.count() / few, found % 2);
}

/// One crash with `in_flight` requests: what each host receives, once from each attachment.
void measure_crash(std::size_t in_flight)
{
    wire::crash_facts facts;
    wire::crash_facts clears;
    for (std::uint64_t n = 0; n < in_flight; ++n) {
        facts.rows.push_back({0, ~n, n << 40U, "i-62e4cac799", 2, 6});
        clears.rows.push_back({1, ~n, n << 40U, "i-62e4cac799", 0, 6});
    }
    const std::size_t bytes = wire::encode(facts).size() + wire::encode(clears).size();
    std::printf("bytes to a host for a crash with %zu requests in flight and their success: %zu "
                "from each of two attachments\n",
                in_flight, bytes);
}

/// All hosts want permits for `limited` backend servers all the time.
void measure_permits(std::size_t hosts, std::size_t limited, double per_second)
{
    instant now = start;
    std::vector<std::unique_ptr<backend_limits>> all;
    for (std::size_t n = 0; n < hosts; ++n) {
        all.push_back(std::make_unique<backend_limits>(
            limit_settings{}, [&now] { return now; }, [hosts] { return hosts; },
            [](const limit_change&) {}, [](const std::string&) {}, [] {}));
        for (std::size_t b = 0; b < limited; ++b) {
            all.back()->take("i-" + std::to_string(100'000 + b), per_second);
        }
    }
    permit_coordinator coordinator{{}};
    std::size_t asked = 0;
    std::size_t replied = 0;
    std::size_t granted = 0;
    constexpr int seconds = 10;
    constexpr int turns = seconds * 50;
    for (int turn = 0; turn < turns; ++turn) {
        now += millis{20};
        for (std::size_t n = 0; n < hosts; ++n) {
            for (std::size_t b = 0; b < limited; ++b) {
                all[n]->request_permit("i-" + std::to_string(100'000 + b), 1);
            }
            wire::permit_requests requests;
            wire::permit_replies replies;
            for (const auto& it : all[n]->take_requests()) {
                const auto answer = coordinator.ask(std::to_string(n), it, now);
                requests.requests.push_back({it.backend, it.per_second, it.priority});
                replies.replies.push_back({it.backend, answer.granted, 100});
                granted += answer.granted ? 1 : 0;
                all[n]->replied(answer);
            }
            asked += requests.requests.empty() ? 0 : wire::encode(requests).size();
            replied += replies.replies.empty() ? 0 : wire::encode(replies).size();
        }
        for (const auto& it : coordinator.due(now)) {
            wire::permit_replies reply;
            reply.replies.push_back({it.backend, true, 0});
            replied += wire::encode(reply).size();
            ++granted;
        }
    }
    std::printf("%zu hosts, %zu limited at %.1f a second: %.0f permits a second; bytes a second: "
                "%.0f from a host, %.0f to it\n",
                hosts, limited, per_second, static_cast<double>(granted) / seconds,
                static_cast<double>(asked) / seconds / static_cast<double>(hosts),
                static_cast<double>(replied) / seconds / static_cast<double>(hosts));
}

} // namespace

int main()
{
    measure_path();
    for (const std::size_t in_flight : {20, 88}) {
        measure_crash(in_flight);
    }
    for (const std::size_t hosts : {12, 105}) {
        measure_permits(hosts, 1, 2.4);
        measure_permits(hosts, 12, 2.4);
    }
    measure_permits(105, 180, 2.4);
    return 0;
}
