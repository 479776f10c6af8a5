/// Entries, agents, engines, callers and operators of the proof world.

#include "world_nodes.h"
#include "hickorypost/ledger/ledger_state.h"
#include "hickorypost/wire/codec.h"

#include <nlohmann/json.hpp>

namespace hickorypost::proof {

namespace {

constexpr micros tick_every{50'000};
constexpr int answer_parts = 6;
constexpr std::uint64_t part_delay_us = 40'000;
constexpr std::string_view caller_hash =
    "00000000000000000000000000000000000000000000000000000000000000aa";

std::string outcome_in(std::string_view body)
{
    const auto at = body.find("\"outcome\":\"");
    if (at == std::string_view::npos) {
        return {};
    }
    const auto rest = body.substr(at + 11);
    return std::string{rest.substr(0, rest.find('"'))};
}

} // namespace

void world::start_entry(const node_id& name)
{
    auto& slot = entry_nodes_[name];
    slot = std::make_unique<entry_node>();
    slot->name = name;
    slot->life = net_.random()();
    entry_node& it = *slot;
    it.router = std::make_unique<routing::router>(routing::router_options{}, net_.random());
    it.cascades = std::make_unique<routing::cascade_policy>(net_.random());
    it.exposure = std::make_unique<rollout::exposure_tracker>(rollout::exposure_options{},
                                                              net_.random(), it.life % 1'000'000);
    it.services = std::make_unique<dispatch::request_services>(services_of(it));
    const auto tell_listeners = [this, name](const node_id& agent,
                                             const dispatch::attempt_event& event) {
        std::vector<dispatch::attempt_hook> hooks;
        for (const auto& [attempt, listener] : entry_nodes_[name]->listeners) {
            if (listener.first == agent) {
                hooks.push_back(listener.second);
            }
        }
        for (const auto& hook : hooks) {
            hook(event);
        }
    };
    net_.start(name, {[this, name, tell_listeners](const node_id& peer) {
                          if (agent_nodes_.contains(peer)) {
                              entry_nodes_[name]->router->set_linked(peer, true, net_.clock(name));
                              tell_listeners(peer, dispatch::link_back{});
                          }
                      },
                      [this, name, tell_listeners](const node_id& peer) {
                          if (agent_nodes_.contains(peer)) {
                              entry_nodes_[name]->router->set_linked(peer, false, net_.clock(name));
                              tell_listeners(peer, dispatch::link_lost{});
                          }
                      }});
    net_.on(name, tick_every, [this, name] { tick_entry(name); });
}

void world::tick_entry(const node_id& name)
{
    entry_node& it = *entry_nodes_[name];
    if (net_.pick(5) == 0) {
        ask_fresh(it);
    }
    if (it.records.lease_left(net_.clock(name)) < millis{1000}) {
        peer_fresh(it);
    }
    sweep_client(it);
    // The directory, as the control hosts would pass it on.
    for (const auto& agent : agents_) {
        if (net_.alive(agent) && net_.linked(name, agent)) {
            it.router->upsert(agent_nodes_[agent]->core->describe_self(), net_.clock(name));
            it.router->set_linked(agent, true, net_.clock(name));
        }
    }
    std::erase_if(it.flows, [](const auto& flow) { return flow.use_count() == 1; });
    net_.on(name, tick_every, [this, name] { tick_entry(name); });
}

std::optional<ledger::ledger_reply>
world::sabotaged_reply(const ledger::ledger_command& command) const
{
    ledger::ledger_reply out;
    if (options_.broken == sabotage::careless_sessions && command.bind) {
        out.bound_version = command.bind->wanted.version;
        return out;
    }
    const bool skipped = (options_.broken == sabotage::amnesiac_ledger && command.open) ||
                         (options_.broken == sabotage::bills_dropped && command.usage);
    return skipped ? std::optional{out} : std::nullopt;
}

dispatch::request_services world::services_of(entry_node& it)
{
    const node_id name = it.name;
    return {
        [this, name] { return net_.clock(name); },
        [this, name] {
            return std::chrono::duration_cast<millis>(net_.clock(name).time_since_epoch()).count();
        },
        net_.random(),
        [&it]() -> const records::records_state& { return it.records.state(); },
        [this, &it, name] {
            return options_.broken == sabotage::stale_nodes || it.records.fresh(net_.clock(name));
        },
        [] { return 1U; },
        [this, name](const node_id& agent, const dispatch::agent_order& order) {
            if (std::holds_alternative<wire::start>(order)) {
                reach(step::start_sent, name);
            }
            return net_.send(name, agent, [this, name, agent, order] {
                auto& core = *agent_nodes_[agent]->core;
                if (const auto* start = std::get_if<wire::start>(&order)) {
                    reach(step::start_received, agent);
                    if (net_.alive(agent)) {
                        core.on_start(name, *start);
                    }
                } else if (const auto* cancel = std::get_if<wire::cancel>(&order)) {
                    core.on_cancel(name, *cancel);
                } else if (const auto* resume = std::get_if<wire::resume>(&order)) {
                    if (options_.broken == sabotage::no_tombstones) {
                        net_.send(agent, name, [this, name, attempt = resume->attempt] {
                            deliver_to_entry(name, wire::unknown_attempt{attempt, true});
                        });
                        return;
                    }
                    core.on_resume(name, *resume);
                } else {
                    core.on_settled(std::get<wire::settled>(order));
                }
            });
        },
        [&it](attempt_id attempt, const node_id& agent, dispatch::attempt_hook hook) {
            it.listeners[attempt] = {agent, std::move(hook)};
        },
        [&it](attempt_id attempt) { it.listeners.erase(attempt); },
        [this, &it, name](std::uint32_t group, ledger::ledger_command command, millis limit,
                          dispatch::ledger_reply_fn done) {
            if (const auto reply = sabotaged_reply(command)) {
                done(&*reply);
                return;
            }
            reach(command.usage ? step::usage_proposed : step::open_proposed, name);
            if (!net_.alive(name)) {
                return;
            }
            ledger::ledger_batch batch;
            batch.commands.push_back(std::move(command));
            propose(it, group, wire::encode(batch), limit,
                    [done = std::move(done)](const std::string* result) {
                        if (result == nullptr) {
                            done(nullptr);
                            return;
                        }
                        const auto reply = wire::try_decode<ledger::ledger_batch_reply>(*result);
                        done(&reply->replies.front());
                    });
        },
        [] { return false; },
        [](const model_version&, std::string_view, std::string_view, millis,
           const dispatch::rating_fn& done) { done(std::nullopt); },
        *it.router,
        it.retries,
        *it.cascades,
        *it.exposure,
        it.limiter,
        it.sessions,
        it.metrics,
        millis{8000}};
}

void world::deliver_to_entry(const node_id& entry, const dispatch::agent_answer& answer)
{
    auto& it = *entry_nodes_[entry];
    const auto attempt = std::visit([](const auto& msg) { return msg.attempt; }, answer);
    const auto found = it.listeners.find(attempt);
    if (found == it.listeners.end()) {
        return;
    }
    const auto hook = found->second.second;
    std::visit([&](const auto& msg) { hook(dispatch::attempt_event{msg}); }, answer);
}

void world::start_agent(const node_id& name)
{
    auto& slot = agent_nodes_[name];
    slot = std::make_unique<agent_node>();
    slot->name = name;
    slot->life = net_.random()();
    agent_node& it = *slot;
    dispatch::agent_hooks hooks;
    hooks.send = [this, name](const node_id& entry, const dispatch::agent_answer& answer) {
        return net_.send(name, entry, [this, entry, answer] { deliver_to_entry(entry, answer); });
    };
    hooks.call = [this, name](const dispatch::backend_call& call) {
        begin_call(*agent_nodes_[name], call);
    };
    hooks.cancel_call = [this, name](attempt_id attempt, wire::run_outcome why) {
        net_.on(name, micros{500}, [this, name, attempt, why] {
            if (agent_nodes_[name]->calls.erase(attempt) > 0) {
                dispatch::call_result result;
                result.outcome = why;
                result.used.completion_tokens = 1;
                agent_nodes_[name]->core->on_call_over(attempt, result);
            }
        });
    };
    hooks.bill = [this, name](const ledger::usage_fact& fact, std::function<void(bool)> done) {
        ledger::ledger_batch batch;
        batch.commands.push_back({std::nullopt, std::nullopt, fact});
        propose(*agent_nodes_[name], 1, wire::encode(batch), millis{5000},
                [done = std::move(done)](const std::string* result) { done(result != nullptr); });
    };
    hooks.changed = [] {};
    hooks.span = [](const telemetry::span&) {};
    hooks.fresh = [this, &it, name] {
        return options_.broken == sabotage::stale_nodes || it.records.fresh(net_.clock(name));
    };
    hooks.records = [&it]() -> const records::records_state& { return it.records.state(); };
    it.core = std::make_unique<dispatch::agent_core>(
        name, it.life, dispatch::agent_core_options{.orphan_grace = millis{1500}}, std::move(hooks),
        [this, name] { return net_.clock(name); },
        [this, name] {
            return std::chrono::duration_cast<millis>(net_.clock(name).time_since_epoch()).count();
        },
        net_.random(), it.metrics);
    net_.start(name, {[](const node_id&) {},
                      [this, name](const node_id& peer) {
                          if (entry_nodes_.contains(peer)) {
                              agent_nodes_[name]->core->on_entry_lost(peer);
                          }
                      }});
    tick_agent(name);
}

void world::tick_agent(const node_id& name)
{
    agent_node& it = *agent_nodes_[name];
    dispatch::announcement what;
    what.info.name = "engine";
    what.info.slots = 4;
    what.info.offers = {{"skills", name == "a1" ? "1" : "2"}};
    if (name == "a3") {
        what.info.offers.push_back({"skills", "1"});
    }
    what.info.leaving = leaving_agents_.contains(name) && options_.broken != sabotage::deaf_agents;
    it.core->on_announcement(std::move(what));
    it.core->sweep();
    if (net_.pick(5) == 0) {
        ask_fresh(it);
    }
    if (it.records.lease_left(net_.clock(name)) < millis{1000}) {
        peer_fresh(it);
    }
    sweep_client(it);
    net_.on(name, tick_every, [this, name] { tick_agent(name); });
}

void world::begin_call(agent_node& it, const dispatch::backend_call& call)
{
    const node_id name = it.name;
    // The engine is a process of its own: what it was handed, it starts, whatever befalls the
    // agent.
    const auto& sent = *first_sending_.at(call.request_id);
    start_event start;
    start.at = net_.now();
    start.key = sent.key;
    start.attempt = call.attempt;
    start.target = call.target;
    start.agent = name;
    start.records_index = it.records.state().index();
    start.session = sent.input.session;
    start.non_idempotent = sent.non_idempotent;
    note("start " + call.request_id + " at " + name);
    it.calls[call.attempt] = call;
    history_.starts.push_back(std::move(start));
    reach(step::call_begun, name);
    net_.on(name, micros{static_cast<std::int64_t>(net_.pick(part_delay_us))},
            [this, name, attempt = call.attempt] {
                agent_nodes_[name]->core->on_call_head(attempt, 200, "text/event-stream");
                emit_part(name, attempt, 0);
            });
}

void world::emit_part(const node_id& agent, attempt_id attempt, int part)
{
    agent_node& it = *agent_nodes_[agent];
    const auto call = it.calls.find(attempt);
    if (call == it.calls.end()) {
        return;
    }
    const bool mixed = options_.broken == sabotage::answers_mixed && part == answer_parts / 2;
    const request_key key{"kuzgun", mixed ? "other" : call->second.request_id};
    const std::string whole = expected_answer(key, call->second.target);
    const std::size_t size = whole.size() / answer_parts;
    const std::size_t from = size * static_cast<std::size_t>(part);
    const bool last = part + 1 == answer_parts;
    reach(part == 0 ? step::first_piece : step::mid_answer, agent);
    it.core->on_call_bytes(
        attempt, std::string_view{whole}.substr(from, last ? std::string_view::npos : size));
    if (!last) {
        net_.on(agent, micros{static_cast<std::int64_t>(net_.pick(part_delay_us))},
                [this, agent, attempt, part] { emit_part(agent, attempt, part + 1); });
        return;
    }
    it.calls.erase(attempt);
    dispatch::call_result result;
    result.http_status = 200;
    result.content_type = "text/event-stream";
    result.used = {10, 0, 20};
    reach(step::call_over, agent);
    if (net_.alive(agent)) {
        it.core->on_call_over(attempt, result);
    }
}

void world::send_request(bool non_idempotent, bool with_session)
{
    auto what = std::make_shared<sending>();
    what->key = {"kuzgun", "r" + std::to_string(next_request_++)};
    what->non_idempotent = non_idempotent;
    what->input.method = "POST";
    what->input.path = "/v1/chat/completions";
    what->input.key_sha256 = caller_hash;
    what->input.idempotency_key = what->key.request;
    what->input.non_idempotent = non_idempotent ? "true" : "";
    what->input.session = with_session ? "s" + std::to_string(net_.pick(4)) : "";
    const std::string version = net_.pick(2) == 0 ? "1" : "2";
    what->input.body = nlohmann::json{{"model", "skills@" + version}, {"stream", true}}.dump();
    first_sending_[what->key.request] = what;
    submit_to_some_entry(what);
}

void world::submit_to_some_entry(const std::shared_ptr<sending>& what)
{
    what->id = next_sending_++;
    sendings_.push_back(what);
    std::vector<node_id> up;
    for (const auto& it : entries_) {
        if (net_.alive(it)) {
            up.push_back(it);
        }
    }
    if (up.empty()) {
        what->was_told = true; // connection refused: the caller got no word at all
        return;
    }
    what->entry = up[net_.pick(up.size())];
    net_.on(what->entry, micros{1000}, [this, what] {
        reach(step::received, what->entry);
        if (net_.alive(what->entry)) {
            serve(*entry_nodes_[what->entry], what);
        }
    });
}

void world::serve(entry_node& it, const std::shared_ptr<sending>& what)
{
    const node_id name = it.name;
    dispatch::caller_hooks caller;
    caller.respond = [this, what](unsigned status, std::string_view, const auto&,
                                  std::string_view body) {
        what->body = body;
        what->outcome = status < 400 ? "" : outcome_in(body);
        what->finished = true;
        told(what);
    };
    caller.start_stream = [what](std::string_view, const auto&) { what->started = true; };
    caller.write = [what](std::string_view bytes) { what->body += bytes; };
    caller.finish_stream = [this, what] {
        what->outcome = outcome_in(what->body);
        what->finished = true;
        told(what);
    };
    caller.start_timer = [this, what, name](dispatch::flow_timer which, millis delay) {
        auto& generation = what->timer_generation[static_cast<std::size_t>(which)];
        net_.on(name, delay, [what, which, generation = ++generation] {
            const auto flow = what->flow.lock();
            if (flow && what->timer_generation[static_cast<std::size_t>(which)] == generation) {
                flow->on_timer(which);
            }
        });
    };
    caller.stop_timer = [what](dispatch::flow_timer which) {
        ++what->timer_generation[static_cast<std::size_t>(which)];
    };
    caller.over = [] {};
    what->services = std::make_unique<dispatch::request_services>(*it.services);
    what->services->listen =
        [this, what, listen = it.services->listen](attempt_id attempt, const node_id& agent,
                                                   dispatch::attempt_hook hook) {
            history_.attempts.push_back({what->id, attempt});
            listen(attempt, agent, std::move(hook));
        };
    auto flow = std::make_shared<dispatch::request_flow>(*what->services, what->input, caller);
    what->flow = flow;
    it.flows.push_back(flow);
    flow->begin();
}

void world::told(const std::shared_ptr<sending>& what)
{
    reach(step::told, what->entry);
    if (what->was_told) {
        return;
    }
    what->was_told = true;
    const bool whole =
        what->outcome.empty() && what->body.find("data: [DONE]") != std::string::npos;
    history_.told.push_back(
        {net_.now(), what->id, what->key, what->non_idempotent, whole, what->outcome, what->body});
    note("told " + what->key.request + " at " + what->entry + ": " +
         (whole ? "complete" : what->outcome));
    if (!whole && what->outcome != "not_run" && what->resends_left > 0) {
        auto again = std::make_shared<sending>();
        again->key = what->key;
        again->input = what->input;
        again->non_idempotent = what->non_idempotent;
        again->resends_left = what->resends_left - 1;
        net_.at(micros{static_cast<std::int64_t>(net_.pick(300'000))},
                [this, again] { submit_to_some_entry(again); });
    }
}

void world::caller_lost_entry(const node_id& entry)
{
    for (const auto& what : std::vector<std::shared_ptr<sending>>{sendings_}) {
        if (what->entry != entry || what->was_told) {
            continue;
        }
        // The connection broke: the caller has a part of an answer, or nothing, and sends again.
        what->was_told = true;
        if (what->resends_left == 0) {
            continue;
        }
        auto again = std::make_shared<sending>();
        again->key = what->key;
        again->input = what->input;
        again->non_idempotent = what->non_idempotent;
        again->resends_left = what->resends_left - 1;
        net_.at(micros{static_cast<std::int64_t>(10'000 + net_.pick(300'000))},
                [this, again] { submit_to_some_entry(again); });
    }
}

} // namespace hickorypost::proof
