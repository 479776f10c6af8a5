#pragma once

#include "hickorypost/gateway/exchange_types.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace hickorypost::gateway {

struct probe_settings {
    /// A backend server that gives no sign of life within this time is silent. A sound one answers
    /// in 5 ms; a lost segment comes again after 200 ms.
    millis answer_limit{280};
    /// An answer this old still holds: many streams of one engine stand still together while it
    /// reads a long prompt.
    millis answer_life{300};
};

/// Asks backend servers for a sign of life, in the name of requests that wait for them. Sans I/O.
///
/// Load pattern: an engine goes dark, as a host without power or a hung process does: connections
/// stay open and nothing comes. Streams pause for a second and more on sound engines too, while
/// they read long prompts, so a pause alone tells only after several seconds. A question that needs
/// no slot of the engine tells in a third of a second, early enough to resume a stream within the
/// longest pause that its caller takes for on time.
///
/// A crashed engine refuses connections and has no work, so it looks like the best choice. Each of
/// a hundred processes would run into each of them; one refusal is told to all.
class liveness_probe {
public:
    using verdict_fn = std::function<void(bool alive)>;
    /// The question as it is sent to that backend server.
    using write_fn = std::function<std::string(const attempt_target& to)>;
    /// Hears of each backend server that gave no sign of life.
    using silent_fn = std::function<void(const std::string& backend)>;

    liveness_probe(probe_settings settings, attempt_port& backends, scheduler& timers, clock_fn now,
                   write_fn write, silent_fn silent);
    ~liveness_probe();
    liveness_probe(const liveness_probe&) = delete;
    liveness_probe& operator=(const liveness_probe&) = delete;

    /// `verdict` comes later, never from within. All who ask of one backend server at a time share
    /// a question.
    std::uint64_t ask(const attempt_target& to, verdict_fn verdict);
    /// A connection to it was refused: nobody listens there.
    void saw_refusal(const std::string& backend) { silent_(backend); }
    /// Its verdict is not wanted any more.
    void cancel(std::uint64_t which);

private:
    class question;
    /// One who waits for a verdict, by the number that `ask` gave.
    using waiter = std::pair<std::uint64_t, verdict_fn>;

    void settle(const std::string& backend, bool alive);

    probe_settings settings_;
    attempt_port& backends_;
    scheduler& timers_;
    clock_fn now_;
    write_fn write_;
    silent_fn silent_;
    std::map<std::string, std::unique_ptr<question>> open_; ///< by incarnation
    std::map<std::string, instant> answered_;               ///< when, by incarnation
    std::vector<waiter> settling_;                          ///< who are hearing a verdict now
    std::uint64_t last_ = 0;
};

} // namespace hickorypost::gateway
