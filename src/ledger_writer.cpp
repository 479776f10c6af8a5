#include "ledger_writer.h"

#include "hickorypost/wire/codec.h"

namespace hickorypost {

namespace {

/// Batches of one group under way at once: enough to cover a commit's latency, few enough to grow
/// batches under load.
constexpr std::size_t max_batches = 4;
constexpr std::size_t max_batch = 512;
constexpr millis try_limit{5000};
constexpr millis retry_pause{200};

} // namespace

ledger_writer::ledger_writer(const runtime& env, control_client& control)
    : env_{env}, control_{control}
{
}

void ledger_writer::write(std::uint32_t group, ledger::ledger_command command, millis limit,
                          reply_fn done)
{
    const bool for_ever = limit == millis{0};
    queues_[group].writes.push_back(
        {std::move(command), std::move(done), env_.now() + limit, for_ever});
    ++waiting_;
    schedule();
}

void ledger_writer::schedule()
{
    if (!flush_timer_.armed()) {
        flush_timer_ = net::timer::when_idle([this] { flush(); });
    }
}

void ledger_writer::flush()
{
    for (auto& [group, queue] : queues_) {
        while (!queue.writes.empty() && queue.in_flight < max_batches) {
            send_batch(group, queue);
        }
    }
}

void ledger_writer::send_batch(std::uint32_t group, group_queue& queue)
{
    ledger::ledger_batch batch;
    std::vector<pending_write> writes;
    while (!queue.writes.empty() && writes.size() < max_batch) {
        batch.commands.push_back(queue.writes.front().command);
        writes.push_back(std::move(queue.writes.front()));
        queue.writes.pop_front();
    }
    ++queue.in_flight;
    auto held = std::make_shared<std::vector<pending_write>>(std::move(writes));
    control_.propose(group, wire::encode(batch), try_limit,
                     [this, group, held](wire::reply_status status, std::string_view result) {
                         settle(group, std::move(*held), status, result);
                     });
}

void ledger_writer::settle(std::uint32_t group, std::vector<pending_write> writes,
                           wire::reply_status status, std::string_view result)
{
    group_queue& queue = queues_[group];
    --queue.in_flight;
    std::optional<ledger::ledger_batch_reply> replies;
    if (status == wire::reply_status::done) {
        replies = wire::try_decode<ledger::ledger_batch_reply>(result);
    }
    const bool good = replies && replies->replies.size() == writes.size();
    const instant now = env_.now();
    for (std::size_t n = 0; n < writes.size(); ++n) {
        auto& it = writes[n];
        if (good) {
            --waiting_;
            it.done(&replies->replies[n]);
        } else if (it.for_ever || now < it.deadline) {
            queue.writes.push_back(std::move(it));
        } else {
            --waiting_;
            it.done(nullptr);
        }
    }
    if (good) {
        schedule();
    } else if (!retry_timer_.armed()) {
        retry_timer_ = net::timer::once(retry_pause, [this] { flush(); });
    }
}

} // namespace hickorypost
