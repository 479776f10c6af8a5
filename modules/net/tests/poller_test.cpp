#include "hickorypost/net/poller.h"

#include "hickorypost/net/timer.h"

#include <boost/test/unit_test.hpp>
#include <glib.h>
#include <list>
#include <string>
#include <sys/eventfd.h>
#include <unistd.h>
#include <utility>
#include <vector>

namespace {

using namespace hickorypost;

using names = std::vector<std::string>;

/// More than the poller takes in one batch.
constexpr int many_inputs = 600;

void run_main_loop()
{
    while (g_main_context_iteration(nullptr, FALSE) != FALSE) {
    }
}

/// Input that arrives when the test says so.
class manual_input final : public net::pollable {
public:
    explicit manual_input(net::poller& on) : poller_{on}, fd_{::eventfd(0, EFD_NONBLOCK)}
    {
        BOOST_REQUIRE(fd_ >= 0);
        poller_.add(fd_, *this);
    }
    ~manual_input() override
    {
        poller_.remove(fd_, *this);
        ::close(fd_);
    }
    manual_input(const manual_input&) = delete;
    manual_input& operator=(const manual_input&) = delete;

    void arrive() const { BOOST_REQUIRE(::eventfd_write(fd_, 1) == 0); }
    void ready(std::uint32_t) override
    {
        if (hook) {
            hook();
        }
    }

    std::function<void()> hook;

private:
    net::poller& poller_;
    int fd_;
};

/// A poller and timers whose time passes only when the test says so.
class manual_loop {
public:
    manual_loop()
    {
        run_main_loop(); // new descriptors are ready for output
        answer.hook = note("answer");
    }
    std::function<void()> note(const std::string& name)
    {
        return [this, name] { order.push_back(name); };
    }
    /// The process is paused, and the answer arrives meanwhile.
    void pause()
    {
        now += millis{1000};
        answer.arrive();
    }
    /// Runs `work` in one iteration with the timers, before them.
    void run_before_timers(std::function<void()> work)
    {
        request.hook = std::move(work);
        request.arrive();
        timers.add(now, [] {});
        run_main_loop();
    }

    instant now{millis{1000}};
    names order;
    net::poller poller;
    manual_input request{poller};
    manual_input answer{poller};
    net::timer_queue timers{poller, [this] { return now; }};
};

} // namespace

BOOST_AUTO_TEST_SUITE(poller_suite)

// Guards against an attempt that fails over although its answer arrived while the process was
// paused.
BOOST_AUTO_TEST_CASE(input_of_a_pause_precedes_the_timers)
{
    manual_loop loop;
    loop.timers.add(loop.now + millis{100}, loop.note("timeout"));
    loop.run_before_timers([&] { loop.pause(); });
    BOOST_TEST((loop.order == names{"answer", "timeout"}));
}

// Guards against the same if the poller had no event in the iteration of the pause.
BOOST_AUTO_TEST_CASE(input_of_a_pause_in_other_work_precedes_the_timers)
{
    manual_loop loop;
    const auto other = net::timer::when_idle([&] { loop.pause(); });
    net::timer_queue timers{loop.poller, [&] { return loop.now; }}; // runs after `other`
    timers.add(loop.now, [] {});
    timers.add(loop.now + millis{100}, loop.note("timeout"));
    run_main_loop();
    BOOST_TEST((loop.order == names{"answer", "timeout"}));
}

// Guards against a timer that is cancelled by input of the pause and runs all the same.
BOOST_AUTO_TEST_CASE(input_of_a_pause_may_cancel_the_timers)
{
    manual_loop loop;
    const auto timeout = loop.timers.add(loop.now + millis{100}, loop.note("timeout"));
    loop.answer.hook = [&] { loop.timers.cancel(timeout); };
    loop.run_before_timers([&] { loop.pause(); });
    BOOST_TEST(loop.order.empty());
}

// Guards against reading only the first batch of the sockets after a pause.
BOOST_AUTO_TEST_CASE(all_input_of_a_pause_precedes_the_timers)
{
    manual_loop loop;
    std::list<manual_input> inputs;
    int answers = 0;
    for (int it = 0; it < many_inputs; ++it) {
        inputs.emplace_back(loop.poller);
    }
    run_main_loop();
    for (auto& it : inputs) {
        it.hook = [&] { ++answers; };
    }
    int answers_before = 0;
    loop.timers.add(loop.now + millis{100}, [&] { answers_before = answers; });
    loop.run_before_timers([&] {
        loop.pause();
        for (const auto& it : inputs) {
            it.arrive();
        }
    });
    BOOST_TEST(answers_before == many_inputs);
}

// Guards against timers that never run while input arrives faster than it is handled.
BOOST_AUTO_TEST_CASE(timers_run_while_input_never_ends)
{
    manual_loop loop;
    std::list<manual_input> inputs;
    for (int it = 0; it < many_inputs; ++it) {
        inputs.emplace_back(loop.poller);
    }
    run_main_loop();
    bool timer_ran = false;
    int events_left = 100'000;
    for (auto& it : inputs) {
        it.hook = [&] {
            if (!timer_ran && --events_left > 0) {
                it.arrive();
            }
        };
    }
    loop.timers.add(loop.now + millis{100}, [&] { timer_ran = true; });
    loop.run_before_timers([&] {
        loop.pause();
        for (const auto& it : inputs) {
            it.arrive();
        }
    });
    BOOST_TEST(events_left > 0);
}

// Guards against a system call more for each timer.
BOOST_AUTO_TEST_CASE(timers_on_time_run_without_polling_again)
{
    manual_loop loop;
    loop.timers.add(loop.now, loop.note("timer"));
    loop.run_before_timers([&] { loop.answer.arrive(); });
    BOOST_TEST((loop.order == names{"timer", "answer"}));
}

BOOST_AUTO_TEST_SUITE_END()
