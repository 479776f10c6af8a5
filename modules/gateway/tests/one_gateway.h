#pragma once
/// Fixture with the components of a gateway process that an exchange uses, and fakes for the rest.

#include "fakes.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace hickorypost::testing {

using namespace gateway;

/// The components of one gateway process, with three ready backend servers and one route, on which
/// requests are idempotent.
struct one_gateway {
    one_gateway()
    {
        site_config config;
        config.version = 3;
        route_spec route;
        route.name = "r";
        route.host = "a";
        route.path_prefix = "/";
        route.kind = request_kind::safe;
        route.timeout = millis{5000};
        route.target_latency = millis{500};
        route.max_attempts = 3;
        route.services = {{"app", 1}};
        config.routes.push_back(route);
        config.services.push_back({"app", "/healthz", 100, std::nullopt});
        table = std::make_shared<const route_table>(config);
        for (const auto* id : {"b1", "b2", "b3"}) {
            add_backend(id);
        }
    }

    void add_backend(const std::string& id)
    {
        directory.take({id, "app", id + ":1", "d", "v1", 4, backend_state::ready, 0, 1},
                       timers.now);
    }

    /// Starts a request on the route after `change` has been applied to it.
    exchange& ask(const std::function<void(route_spec&)>& change, millis wait = millis{4000},
                  const std::string& session = {})
    {
        asked_route = table->config().routes.front();
        change(asked_route);
        caller_request request;
        request.id = "q";
        request.method = "POST";
        request.target = "/x";
        request.wait = wait;
        request.any_model = !asked_route.models.empty();
        request.session = session;
        request.arrived = timers.now;
        request.parts = asked_parts;
        request.prompt_tokens = asked_tokens;
        current = std::make_unique<exchange>(services, caller, std::move(request), table,
                                             asked_route, nullptr);
        current->start();
        return *current;
    }

    /// Answers the last attempt with a head and, if the exchange keeps the attempt, a part of the
    /// body.
    void answer(unsigned status, const std::string& body, bool ran = true, double confidence = 1)
    {
        auto* const events = backends.last().events;
        http1::response_head head;
        head.status = status;
        head.body = framing_of_answers;
        head.fields.add("X-Ran", ran ? "1" : "0");
        head.fields.add("X-Confidence", std::to_string(confidence));
        const std::size_t before = backends.attempts.size();
        events->on_head(head);
        if (!ran || backends.attempts.size() != before) {
            return;
        }
        if (!body.empty()) {
            events->on_body(body);
        }
    }

    void complete() { backends.last().events->on_complete(); }
    /// Fails the last attempt and runs the timers that are due, so that the next attempt has
    /// started, or the caller has its answer.
    void fault(attempt_fault how)
    {
        backends.last().events->on_fault(how);
        timers.run_for(millis{0});
    }

    fake_scheduler timers;
    fake_backends backends;
    fake_backends probes;
    std::vector<std::string> found_unresponsive;
    std::vector<std::pair<std::string, unsigned>> probe_answers;
    liveness_probe liveness{{},
                            probes,
                            timers,
                            [this] { return timers.now; },
                            [](const attempt_target&) { return std::string{"alive?"}; },
                            [this](const std::string& it) { found_unresponsive.push_back(it); },
                            [this](const std::string& backend, const http1::response_head& head) {
                                probe_answers.emplace_back(backend, head.status);
                            }};
    fake_dials dials{timers};
    crash_ledger suspects{{}, [this] { return timers.now; }, [](const crash_fact&) {}};
    std::vector<crashed_attempt> crashed;
    crash_watch crashes{{},
                        timers,
                        [this] { return timers.now; },
                        [this](const attempt_target& to, const std::function<void(bool)>& done) {
                            return dials.open(to, done);
                        },
                        [](const attempt_target&) { return false; },
                        [this](const crashed_attempt& it) {
                            crashed.push_back(it);
                            suspects.crashed(it);
                        }};
    std::vector<limit_change> limit_changes;
    std::size_t unreadable_limits = 0;
    std::size_t permits_requested = 0;
    limit_statement limit_in_answers; ///< that each answer states
    backend_limits limits{{},
                          [this] { return timers.now; },
                          [] { return std::size_t{4}; },
                          [this](const limit_change& it) { limit_changes.push_back(it); },
                          [this](const std::string&) { ++unreadable_limits; },
                          [this] { ++permits_requested; }};
    std::vector<backoff_request> backoff_requests;
    backend_backoff backoffs{{},
                             [this] { return timers.now; },
                             seeded_random_fn(8),
                             [this](const backoff_request& it) { backoff_requests.push_back(it); }};
    backoff_statement backoff_in_answers; ///< that each answer states
    scheduling::admission_coordinator admission{
        [this] { return timers.now; }, seeded_random_fn(9),
        [this](instant due, std::function<void()> hook) { timers.add(due, std::move(hook)); }};
    fake_caller caller;
    backend_directory directory{{}};
    load_balancer balancer{{}, "d", seeded_random_fn(5), [this](const auto&, const auto&) {
                               admission.load_changed();
                           }};
    rollout_view rollouts{seeded_random_fn(6), millis{10'000}};
    model_choice models{{}};
    std::map<std::string, retry_window> windows;
    std::vector<exchange_record> records;
    route_table_ptr table;
    route_spec asked_route;
    http1::framing framing_of_answers = http1::framing::sized;
    double asked_tokens = 0;              ///< prompt tokens of each request
    std::vector<prompt_part> asked_parts; ///< of each request; the last one is its own
    exchange_services services{
        directory,
        balancer,
        rollouts,
        models,
        windows,
        backends,
        liveness,
        crashes,
        suspects,
        limits,
        backoffs,
        admission,
        timers,
        [this] { return timers.now; },
        seeded_random_fn(7),
        {},
        {.ratio = 1, .slack = 100},
        [] { return std::size_t{1}; },
        [](const caller_request&, const attempt_order& order) {
            return "model=" + order.model + " after=" +
                   std::to_string(order.last_event_id ? static_cast<int>(*order.last_event_id)
                                                      : -1);
        },
        [this](const http1::response_head& head) {
            backend_answer out;
            out.limit = limit_in_answers;
            out.backoff = backoff_in_answers;
            out.status = head.status;
            out.ran = head.fields.find("X-Ran") != "0";
            out.misdirected = head.status == 421;
            out.backend_name = head.fields.find("X-Name").value_or("");
            out.signed_body = !head.fields.find("X-Unsigned");
            out.request_id = head.fields.find("X-Id").value_or("q");
            out.confidence = std::stod(std::string{head.fields.find("X-Confidence").value_or("1")});
            return out;
        },
        [this](const exchange_record& it) { records.push_back(it); },
        [this](const std::string& backend, const backend_answer& answer, std::string_view request) {
            backoffs.saw(backend, answer, request);
        },
        [](const exchange_record&, std::string_view, std::string_view) {}};
    std::unique_ptr<exchange> current;
};

inline void as_is(route_spec&) {}

inline void as_unsafe(route_spec& it)
{
    it.kind = request_kind::unsafe;
}

inline void as_stream(route_spec& it)
{
    it.kind = request_kind::streaming;
    it.resumable = true;
    it.target_gap = millis{500};
}

/// An event of a stream, as sent.
inline std::string event(int id)
{
    return "id: " + std::to_string(id) + "\ndata: x\n\n";
}

} // namespace hickorypost::testing
