#include "hickorypost/net/out_buffer.h"

#include <boost/test/unit_test.hpp>

namespace {

using hickorypost::net::out_buffer;

} // namespace

BOOST_AUTO_TEST_SUITE(out_buffer_suite)

// A peer always reads a little less than what waits for it, so the buffer never runs empty. Bytes
// that were written long ago must not stay in memory until it does.
BOOST_AUTO_TEST_CASE(a_peer_that_always_lags_does_not_hold_what_it_has_read)
{
    constexpr std::size_t step = 8192;
    out_buffer it;
    it.push(std::string(step, 'a'));
    for (int n = 0; n < 1000; ++n) {
        it.push(std::string(step, 'b'));
        it.consume(step);
    }
    BOOST_TEST(it.size() == step);
    BOOST_TEST(it.held() < 10 * step);
}

// Guards against keeping the memory of a burst while a few bytes are still unsent.
BOOST_AUTO_TEST_CASE(memory_follows_the_unsent_bytes_after_a_burst)
{
    constexpr std::size_t burst = 1'000'000;
    constexpr std::size_t rest = 10'000;
    out_buffer it;
    it.push(std::string(burst, 'a'));
    it.consume(burst - rest);
    BOOST_TEST(it.size() == rest);
    BOOST_TEST(it.capacity() < 4 * rest);
    it.consume(rest);
    BOOST_TEST(it.capacity() < 4 * rest);
}

BOOST_AUTO_TEST_CASE(bytes_leave_in_order_whatever_the_sizes_of_the_writes)
{
    out_buffer it;
    std::string sent;
    std::string got;
    for (std::size_t n = 1; n < 400; ++n) {
        const std::string part(n * 37 % 901, static_cast<char>('a' + n % 26));
        sent += part;
        it.push(part);
        const std::size_t taken = std::min(it.size(), n * 53 % 700);
        got += it.pending().substr(0, taken);
        it.consume(taken);
    }
    got += it.pending();
    BOOST_TEST((got == sent));
}

BOOST_AUTO_TEST_SUITE_END()
