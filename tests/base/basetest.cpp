#include "dragonflysill/base/error.h"
#include "dragonflysill/base/hash.h"
#include "dragonflysill/base/hybridclock.h"
#include "dragonflysill/base/random.h"
#include "dragonflysill/base/storekeys.h"

#include <boost/test/unit_test.hpp>

#include <string>
#include <vector>

using namespace dragonflysill;

BOOST_AUTO_TEST_SUITE(Base)

// Guards against an error kind without a name or message.
BOOST_AUTO_TEST_CASE(EveryErrorKindHasNameAndMessage)
{
    const int last = static_cast<int>(ErrorKind::SettingsInvalid);
    for (int n = 1; n <= last; ++n) {
        const auto ec = make_error_code(static_cast<ErrorKind>(n));
        BOOST_TEST(errorName(ec) != "unknown", "kind " << n << " has no name");
        BOOST_TEST(ec.message().find("unknown") == std::string::npos, "kind " << n);
    }
}

// Guards against keys of remaining members that change their owner when a member leaves.
BOOST_AUTO_TEST_CASE(RendezvousMovesOnlyKeysOfRemovedMember)
{
    const std::vector<std::string> all{"a", "b", "c", "d"};
    const std::vector<std::string> remaining{"a", "b", "d"};
    int moved = 0;
    for (int n = 0; n < 1000; ++n) {
        const std::string key = "key" + std::to_string(n);
        const auto &before = all[static_cast<std::size_t>(rendezvousIndex(key, all))];
        const auto &after = remaining[static_cast<std::size_t>(rendezvousIndex(key, remaining))];
        if (before == "c")
            ++moved;
        else
            BOOST_TEST(before == after);
    }
    BOOST_TEST(moved > 150);
    BOOST_TEST(moved < 350);
}

// Guards against ordering a receipt before its sending when the sender's clock is ahead.
BOOST_AUTO_TEST_CASE(ReceiptIsOrderedAfterSendingDespiteClockSkew)
{
    HybridClock sender;
    HybridClock receiver;
    const HybridTime sent = sender.tick(5000);
    const HybridTime received = receiver.receive(sent, 1000);
    BOOST_TEST((received > sent));
    BOOST_TEST((receiver.tick(1001) > received));
}

// Guards against a range that omits keys with the prefix or includes other keys.
BOOST_AUTO_TEST_CASE(RangeEndCoversExactlyThePrefix)
{
    const std::string end = storekeys::rangeEnd("/a/");
    BOOST_TEST(end == "/a0");
    BOOST_TEST(storekeys::ticket(42) == "/dragonflysill/tickets/0000000042");
}

// Guards against a generator whose sequence differs between platforms.
BOOST_AUTO_TEST_CASE(RandomSequenceIsFixedBySeed)
{
    Random a(7);
    Random b(7);
    for (int n = 0; n < 100; ++n)
        BOOST_TEST(a.next() == b.next());
    BOOST_TEST(Random(0).next() == 0xe220a8397b1dcdafULL);
}

BOOST_AUTO_TEST_SUITE_END()
