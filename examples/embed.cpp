/// Routing and admission embedded without any daemon: two backend servers, a queue before each, and
/// a handful of requests in the caller's own loop.

#include "hickorypost/admission.h"
#include "hickorypost/routing.h"

#include <iostream>
#include <map>

int main()
{
    using namespace hickorypost;
    routing::router router{{}, seeded_random_fn(1)};
    std::map<std::string, admission::admission_queue> queues;
    const instant start{millis{1000}};
    for (const std::string name : {"left", "right"}) {
        wire::agent_info agent;
        agent.node = name;
        wire::backend_info backend;
        backend.name = "engine";
        backend.offers = {{"skills", "1"}};
        backend.slots = 2;
        agent.backends.push_back(backend);
        router.upsert(agent, start);
        router.set_linked(name, true, start);
        queues.emplace(name, admission::admission_queue{{.slots = backend.slots}});
    }
    for (attempt_id id = 1; id <= 6; ++id) {
        const auto choice = router.choose({{"skills", "1"}}, start);
        if (!choice) {
            std::cout << "request " << id << ": no backend server\n";
            continue;
        }
        router.started(choice->backend, 0, start);
        auto& queue = queues.at(choice->backend.agent);
        const auto verdict = queue.offer(
            {id, "account", 1, wire::priority::interactive, start + millis{500}}, start);
        const bool queued = verdict.verdict == admission::offer_verdict::queued;
        std::cout << "request " << id << " to " << choice->backend.agent << ": "
                  << (queued ? queue.next() ? "runs" : "waits" : "refused") << "\n";
    }
    return 0;
}
