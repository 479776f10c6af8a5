#include "hickorypost/dispatch/request_flow.h"

#include "hickorypost/dispatch/billing.h"
#include "hickorypost/ledger/ledger_state.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace hickorypost::dispatch {

namespace {

constexpr millis unavailable_retry{1000};
/// Time limit for recording an open request in the ledger. If it passes, the ledger learns of the
/// request only when its usage is billed.
constexpr millis note_limit{10'000};

} // namespace

request_flow::request_flow(request_services& services, caller_input input, caller_hooks caller)
    : services_{services}, input_{std::move(input)}, caller_{std::move(caller)}, arrived_{
                                                                                     services.now()}
{
}

request_flow::~request_flow() = default;

void request_flow::begin()
{
    const auto self = shared_from_this();
    if (!read_headers() || !identify()) {
        return;
    }
    const bool read = service_ ? read_service_path() : read_chat_body();
    if (!read || !admit() || !resolve()) {
        return;
    }
    caller_.start_timer(flow_timer::deadline, std::chrono::ceil<millis>(remaining()));
    bind_session();
}

void request_flow::on_timer(flow_timer which)
{
    const auto keep = shared_from_this();
    if (which == flow_timer::deadline) {
        on_deadline();
    } else if (link_timer_armed_) {
        link_timer_armed_ = false;
        lost_for_good();
    }
}

void request_flow::bind_session()
{
    if (session_.empty() || service_ || cascade_) {
        session_bound(nullptr);
        return;
    }
    if (const auto known = services_.sessions.find({fact_.key.account, session_, target().model})) {
        ledger::ledger_reply reply;
        reply.bound_version = *known;
        session_bound(&reply);
        return;
    }
    const auto groups = services_.ledger_groups();
    const auto group = ledger::group_of_session(fact_.key.account, session_, groups);
    ledger::ledger_command command;
    command.bind = ledger::bind_session{fact_.key.account, session_, target()};
    services_.write_ledger(1 + group, std::move(command), std::chrono::ceil<millis>(remaining()),
                           [self = shared_from_this()](const ledger::ledger_reply* reply) {
                               if (reply == nullptr) {
                                   self->fail(503, "unavailable",
                                              "the session's version cannot be looked up now",
                                              told_outcome::not_run, unavailable_retry);
                                   return;
                               }
                               self->session_bound(reply);
                           });
}

void request_flow::session_bound(const ledger::ledger_reply* reply)
{
    if (closing_ || over_) {
        return;
    }
    if (reply != nullptr) {
        services_.sessions.put({fact_.key.account, session_, target().model}, reply->bound_version);
        if (reply->bound_version != target().version) {
            if (on_candidate_) {
                services_.exposure.return_answer(target());
                on_candidate_ = false;
            }
            stages_[0].version = reply->bound_version;
        }
    }
    if (!service_) {
        const auto verdict = services_.records().check(fact_.key.account, target());
        if (verdict == records::verdict::withdrawn) {
            // A session is never moved to another version implicitly; the caller has to start a new
            // session.
            const bool bound = reply != nullptr;
            fail(bound ? 409 : 410, bound ? "session_version_withdrawn" : "version_withdrawn",
                 bound ? "the session's version was withdrawn; start a new session"
                       : "this version was withdrawn",
                 told_outcome::not_run);
            return;
        }
        if (verdict != records::verdict::allowed) {
            fail(verdict == records::verdict::unknown_version ? 404 : 403, "forbidden_model",
                 "the account may not use this model and version", told_outcome::not_run);
            return;
        }
    }
    choose_cascade_start();
    open();
}

void request_flow::choose_cascade_start()
{
    if (!cascade_) {
        return;
    }
    const auto& records = services_.records();
    std::vector<routing::cascade_stage> stages;
    for (const auto& it : stages_) {
        const auto* version = records.version(it);
        stages.push_back({static_cast<double>(version->price_in + version->price_out),
                          version->quality, micros{0}});
    }
    const routing::cascade_query query{fact_.key.account, task_, non_idempotent_, remaining(),
                                       accept_rating_};
    stage_ = services_.cascades.start_stage(query, stages);
}

void request_flow::open()
{
    fact_.session = session_;
    fact_.non_idempotent = non_idempotent_;
    attempt_.id = services_.random();
    fact_.attempt = attempt_.id;
    if (!non_idempotent_) {
        attempt();
        note_open();
        return;
    }
    // The ledger must name the agent of a non-idempotent request before the request is sent, so
    // that a retry through any entry finds this attempt instead of starting a second one.
    const auto choice =
        services_.router.choose({target(), prefix_, prompt_tokens_, {}}, services_.now());
    if (!choice) {
        give_up();
        return;
    }
    attempt_.backend = choice->backend;
    attempt_.agent_life = choice->agent_life;
    attempt_.modelled_first = choice->modelled_first;
    const auto group = ledger::group_of(fact_.key, services_.ledger_groups());
    services_.write_ledger(
        1 + group, open_command(true), std::chrono::ceil<millis>(remaining()),
        [self = shared_from_this()](const ledger::ledger_reply* reply) { self->opened(reply); });
}

void request_flow::note_open()
{
    // Written asynchronously while the attempt runs. If this entry and the agent are both lost
    // before billing, the usage report then lists the request as unknown instead of omitting it.
    if (!attempt_.live || closing_) {
        return;
    }
    services_.write_ledger(1 + ledger::group_of(fact_.key, services_.ledger_groups()),
                           open_command(false), note_limit, [](const ledger::ledger_reply*) {});
}

ledger::ledger_command request_flow::open_command(bool non_idempotent) const
{
    ledger::ledger_command out;
    out.open = ledger::open_request{fact_.key,
                                    attempt_.id,
                                    attempt_.backend.agent,
                                    attempt_.agent_life,
                                    attempt_.backend.backend,
                                    target(),
                                    non_idempotent};
    return out;
}

void request_flow::opened(const ledger::ledger_reply* reply)
{
    if (closing_ || over_) {
        return;
    }
    if (reply == nullptr) {
        fail(503, "unavailable", "the ledger cannot be reached", told_outcome::not_run,
             unavailable_retry);
        return;
    }
    if (reply->status == ledger::ledger_status::duplicate && reply->holder) {
        attach(*reply->holder, reply->closed);
        return;
    }
    opened_ = true;
    send_start();
}

void request_flow::attach(const ledger::open_request& holder,
                          std::optional<ledger::request_outcome> closed)
{
    // The ledger already holds an attempt for this key. The caller receives the answer or the
    // outcome of that attempt; a second one is never started.
    attempt_.id = holder.attempt;
    attempt_.backend = {holder.agent, holder.backend};
    attempt_.agent_life = holder.agent_life;
    attempt_.started = services_.now();
    fact_.attempt = holder.attempt;
    stages_ = {holder.target};
    stage_ = 0;
    opened_ = true;
    maybe_ran_ = closed.has_value();
    services_.listen(attempt_.id, holder.agent,
                     [self = shared_from_this(), id = attempt_.id](const auto& event) {
                         self->on_event(id, event);
                     });
    attempt_.live = true;
    if (!services_.send(holder.agent, wire::resume{attempt_.id, attempt_.agent_life, 0})) {
        const bool known = closed && *closed == ledger::request_outcome::complete;
        fail(409, "already_requested",
             known ? "this request was completed; its answer is no longer kept"
                   : "this request was sent before; its outcome is unknown to this entry",
             told_outcome::unknown);
    }
}

void request_flow::attempt()
{
    if (closing_ || over_) {
        return;
    }
    const auto choice =
        services_.router.choose({target(), prefix_, prompt_tokens_, tried_}, services_.now());
    if (!choice) {
        give_up();
        return;
    }
    attempt_.backend = choice->backend;
    attempt_.agent_life = choice->agent_life;
    attempt_.modelled_first = choice->modelled_first;
    send_start();
}

void request_flow::send_start()
{
    const auto* account = services_.records().account(fact_.key.account);
    attempt_.started = services_.now();
    attempt_.first_byte.reset();
    attempt_.received = 0;
    attempt_.live = true;
    answer_.reset();
    if (tries_++ == 0) {
        services_.retries.first_try();
    }
    services_.listen(attempt_.id, attempt_.backend.agent,
                     [self = shared_from_this(), id = attempt_.id](const auto& event) {
                         self->on_event(id, event);
                     });
    wire::start order;
    order.attempt = attempt_.id;
    order.agent_life = attempt_.agent_life;
    order.key = fact_.key;
    order.target = target();
    order.backend = attempt_.backend.backend;
    order.session = session_;
    order.non_idempotent = non_idempotent_;
    order.stream = stream_;
    order.urgency = account == nullptr ? wire::priority::normal : account->urgency;
    order.weight = account == nullptr ? 1 : account->weight;
    order.remaining_us = static_cast<std::uint64_t>(std::max<std::int64_t>(0, remaining().count()));
    order.records_index = services_.records().index();
    order.method = method_;
    order.path = service_path_;
    order.content_type = "application/json";
    order.body = body_;
    order.traceparent = trace_.header();
    services_.router.started(attempt_.backend, prefix_, services_.now());
    if (!services_.send(attempt_.backend.agent, order)) {
        // Nothing was sent, so the attempt did not run.
        close_attempt(true, micros{0});
        if (!try_elsewhere(true)) {
            give_up();
        }
    }
}

void request_flow::close_attempt(bool backend_failed, micros total)
{
    attempt_.live = false;
    services_.forget(attempt_.id);
    stop_link_timer();
    routing::attempt_report report;
    report.failed = backend_failed;
    report.total = total;
    report.modelled_first = attempt_.modelled_first;
    if (attempt_.first_byte) {
        report.first_token = *attempt_.first_byte - attempt_.started;
    }
    services_.router.ended(attempt_.backend, report, services_.now());
    tried_.push_back(attempt_.backend);
}

bool request_flow::try_elsewhere(bool safe)
{
    // A retry is safe if the last attempt did not run or the request may run twice, and only while
    // no part of the answer was delivered to the caller. A non-idempotent request stays with the
    // agent that the ledger names.
    if (!safe || non_idempotent_ || answer_.delivered() > 0 || closing_ || gone_ ||
        !services_.retries.try_again(tries_, remaining())) {
        return false;
    }
    services_.metrics.count("entry_retries_total");
    attempt_.id = services_.random();
    attempt();
    return closing_ || over_ || attempt_.live;
}

void request_flow::on_event(attempt_id id, const attempt_event& event)
{
    if (id != attempt_.id || !attempt_.live) {
        return; // the event belongs to an attempt that was closed
    }
    const auto keep = shared_from_this();
    struct visitor {
        request_flow& self;
        void operator()(const wire::refused& it) const { self.on_refused(it); }
        void operator()(const wire::piece& it) const { self.on_piece(it); }
        void operator()(const wire::finished& it) const { self.on_finished(it); }
        void operator()(const wire::unknown_attempt& it) const { self.on_unknown(it); }
        void operator()(const link_lost&) const { self.on_link_lost(); }
        void operator()(const link_back&) const { self.on_link_back(); }
    };
    std::visit(visitor{*this}, event);
}

micros request_flow::remaining() const
{
    return deadline_ - services_.now();
}

} // namespace hickorypost::dispatch
