#include "dragonflysill/peers/peerserver.h"

#include "dragonflysill/peers/codec.h"
#include "dragonflysill/peers/framedelay.h"

#include <chrono>
#include <list>
#include <utility>

namespace dragonflysill {

namespace internal {

using namespace std::chrono_literals;

/** Time for which an answer waits for others to share its frame. */
constexpr Duration answerFlushDelay = 5ms;

class PeerSession;

/** What the sessions of a server share. */
struct PeerServerState
{
    EventLoop &loop;
    PeerServer::Handler handler;
    std::list<std::shared_ptr<PeerSession>> sessions;
    std::uint64_t malformedFrames = 0;
    bool closed = false;
};

/** One connection from a peer. */
class PeerSession : public std::enable_shared_from_this<PeerSession>
{
public:
    explicit PeerSession(std::weak_ptr<PeerServerState> state)
        : m_state(std::move(state))
    {
    }

    void start(std::shared_ptr<FrameSocket> socket)
    {
        m_connection = std::make_unique<FrameConnection>(
                std::move(socket),
                FrameConnection::Handlers{[this](std::string_view payload) { received(payload); },
                                          [this](const std::string &) { end(); }});
    }

private:
    void received(std::string_view payload)
    {
        const auto state = m_state.lock();
        if (!state || state->closed)
            return;
        const auto now = EventLoop::now();
        auto batch = m_decoder.decode(payload);
        if (!batch) {
            ++state->malformedFrames;
            end();
            return;
        }
        const auto delay
                = m_delay.observe(TimePoint(std::chrono::milliseconds(batch->sentMs)), now);
        // An empty batch asks whether this node is there.
        if (batch->empty())
            send();
        for (auto &it : batch->requests) {
            auto answered = std::make_shared<bool>(false);
            state->handler({std::move(it.message), batch->fence, delay},
                           [self = weak_from_this(), call = it.call,
                            answered = std::move(answered)](PeerAnswer answer) {
                               if (std::exchange(*answered, true))
                                   return;
                               if (const auto session = self.lock())
                                   session->answer({call, std::move(answer)});
                           });
        }
    }

    void answer(Numbered<PeerAnswer> answer)
    {
        m_batch.answers.push_back(std::move(answer));
        const auto state = m_state.lock();
        if (!state || std::exchange(m_flushing, true))
            return;
        state->loop.after(answerFlushDelay, [self = weak_from_this()] {
            if (const auto session = self.lock()) {
                session->m_flushing = false;
                session->send();
            }
        });
    }

    void send()
    {
        if (!m_connection)
            return;
        m_batch.sentMs = EventLoop::now().time_since_epoch() / 1ms;
        m_connection->send(m_encoder.encode(std::exchange(m_batch, {})));
    }

    void end()
    {
        m_connection.reset();
        if (const auto state = m_state.lock())
            std::erase(state->sessions, shared_from_this());
    }

    std::weak_ptr<PeerServerState> m_state;
    std::unique_ptr<FrameConnection> m_connection;
    PeerEncoder m_encoder;
    PeerDecoder m_decoder;
    FrameDelay m_delay;
    PeerBatch m_batch; ///< Answers that have not been sent.
    bool m_flushing = false;
};

} // namespace internal

PeerServer::PeerServer(EventLoop &loop, Handler handler)
    : m_state(std::make_shared<internal::PeerServerState>(
            internal::PeerServerState{loop, std::move(handler), {}, 0, false}))
    , m_server(loop, [state = std::weak_ptr(m_state)](
                             const std::shared_ptr<internal::FrameSocket> &socket) {
        const auto server = state.lock();
        if (!server)
            return;
        server->sessions.push_back(std::make_shared<internal::PeerSession>(state));
        server->sessions.back()->start(socket);
    })
{
}

PeerServer::~PeerServer()
{
    m_state->closed = true;
    m_state->sessions.clear();
}

Result<Done> PeerServer::listen(const std::string &address)
{
    return m_server.listen(address);
}

std::size_t PeerServer::connections() const
{
    return m_state->sessions.size();
}

std::uint64_t PeerServer::malformedFrames() const
{
    return m_state->malformedFrames;
}

} // namespace dragonflysill
