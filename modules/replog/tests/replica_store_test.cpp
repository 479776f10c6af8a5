#include "hickorypost/replog/replica_store.h"

#include "virtual_disk.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace hickorypost;
using seeds = std::optional<std::vector<node_id>>;

replog::recovered_state open(storage::file_system& fs, const seeds& first_start_seeds)
{
    return value_or_handle<storage::storage_error>(
        [&]() -> result<replog::recovered_state> {
            BOOST_LEAF_AUTO(store, replog::replica_store::open(fs, "g0-", "a", seeded_random_fn(1),
                                                               first_start_seeds));
            return store->take_recovered();
        },
        [](const storage::storage_error& error) -> replog::recovered_state {
            BOOST_FAIL(storage::describe(error));
            return {};
        });
}

} // namespace

BOOST_AUTO_TEST_SUITE(replica_store_suite)

// Guards against a restart before the founding, or with other seeds, after which no host or two
// hosts found the group.
BOOST_AUTO_TEST_CASE(seeds_of_the_first_start_are_kept)
{
    testing::virtual_disk disk;
    const seeds first = std::vector<node_id>{"a", "b"};
    const auto created = open(disk, first);
    BOOST_TEST((created.first_start_seeds == first));
    disk.crash();
    const auto reopened = open(disk, std::nullopt);
    BOOST_TEST((reopened.first_start_seeds == first));
    BOOST_TEST(reopened.self.disk == created.self.disk);
    BOOST_TEST((open(disk, std::vector<node_id>{"c"}).first_start_seeds == first));
}

// Guards against taking a lost disk for one of the first start.
BOOST_AUTO_TEST_CASE(disk_created_at_a_later_start_has_no_seeds)
{
    testing::virtual_disk disk;
    BOOST_TEST(!open(disk, std::nullopt).first_start_seeds);
    BOOST_TEST(!open(disk, std::nullopt).first_start_seeds);
}

BOOST_AUTO_TEST_SUITE_END()
