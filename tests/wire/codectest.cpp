#include "dragonflysill/wire/codec.h"
#include "dragonflysill/base/frame.h"
#include "dragonflysill/base/random.h"

#include <boost/test/unit_test.hpp>

#include <vector>

using namespace dragonflysill;

namespace {

std::vector<Envelope> oneOfEachMessage()
{
    Heartbeat heartbeat{"a1", 7, 8, 9, 10, {{"i1", 3}}, {{"a2", 4, 5, 6}}, 11, true, true, true};
    return {{{1, 2}, Hello{"a1", "west", "a", true, 5, "127.0.0.1:1"}},
            {{3, 4}, heartbeat},
            {{5, 6},
             ViewDelta{1,
                       9,
                       true,
                       {{"k", std::string("\0v", 2), 4, false}, {"d", "", 5, true}},
                       true}},
            {{7, 8}, ViewRequest{12, true}},
            {{9, 9}, ViewAck{13, {{"i2", 1}}, true}}};
}

} // namespace

BOOST_AUTO_TEST_SUITE(WireCodec)

// Guards against a field that is lost or swapped with another by encoding and decoding.
BOOST_AUTO_TEST_CASE(EveryMessageRoundTrips)
{
    for (const auto &it : oneOfEachMessage()) {
        const auto decoded = decodeEnvelope(encodeEnvelope(it));
        BOOST_REQUIRE(decoded.ok());
        BOOST_TEST((*decoded == it), "message type " << it.message.index());
    }
}

// Guards against reading beyond the end of a truncated envelope.
BOOST_AUTO_TEST_CASE(TruncatedEnvelopeIsCorrupt)
{
    for (const auto &it : oneOfEachMessage()) {
        const std::string bytes = encodeEnvelope(it);
        for (std::size_t n = 0; n < bytes.size() / 2; ++n) {
            const auto decoded = decodeEnvelope(std::string_view(bytes).substr(0, n));
            BOOST_REQUIRE(!decoded.ok());
            BOOST_TEST(decoded.error().is(ErrorKind::Corrupt));
        }
    }
}

// Guards against a crash on randomly corrupted bytes; seed 5.
BOOST_AUTO_TEST_CASE(CorruptedEnvelopeDoesNotCrash)
{
    Random random(5);
    for (int iteration = 0; iteration < 2000; ++iteration) {
        for (const auto &it : oneOfEachMessage()) {
            std::string bytes = encodeEnvelope(it);
            for (int n = 0; n < 4; ++n)
                bytes[random.below(bytes.size())] = static_cast<char>(random.next());
            const auto decoded = decodeEnvelope(bytes);
            BOOST_REQUIRE((decoded.ok() || decoded.error().is(ErrorKind::Corrupt)));
        }
    }
}

// Guards against frames that are decoded differently depending on how the stream is split.
BOOST_AUTO_TEST_CASE(FramesAreReadByteByByte)
{
    const std::string stream = *encodeFrame("first") + *encodeFrame("") + *encodeFrame("third");
    FrameReader reader;
    std::vector<std::string> frames;
    for (const char ch : stream) {
        reader.append({&ch, 1});
        auto frame = reader.next();
        BOOST_REQUIRE(frame.ok());
        if (*frame)
            frames.push_back(**frame);
    }
    BOOST_TEST(frames == (std::vector<std::string>{"first", "", "third"}),
               boost::test_tools::per_element());
    BOOST_TEST(!reader.hasIncompleteFrame());
}

// Guards against a frame length that makes the receiver allocate memory without limit.
BOOST_AUTO_TEST_CASE(OversizedFrameIsRejectedOnBothSides)
{
    BOOST_TEST(encodeFrame(std::string(maxPayloadBytes + 1, 'x'))
                       .error()
                       .is(ErrorKind::LimitExceeded));
    BOOST_TEST(encodeFrame(std::string(maxPayloadBytes, 'x')).ok());
    FrameReader reader;
    reader.append(std::string_view("\x01\x00\x40\x00", 4));
    const auto frame = reader.next();
    BOOST_REQUIRE(!frame.ok());
    BOOST_TEST(frame.error().is(ErrorKind::LimitExceeded));
}

BOOST_AUTO_TEST_SUITE_END()
