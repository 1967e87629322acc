#pragma once

#include "dragonflysill/base/result.h"
#include "dragonflysill/store/gatewaycodec.h"

#include <httplib.h>

#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <deque>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <thread>

namespace dragonflysill::internal {

/**
 * Reads the JSON lines of a watch in a thread of its own, so that the caller can wait with a
 * timeout. The destructor closes the connection and joins the thread.
 */
class WatchStream
{
public:
    /**
     * Sends the watch request.
     * @param client the connection; owned by the stream
     * @param maxLineBytes a longer line ends the stream with LimitExceeded
     */
    WatchStream(std::unique_ptr<httplib::Client> client, httplib::Headers headers,
                const gateway::WatchRequest &request, std::size_t maxLineBytes);
    ~WatchStream();

    WatchStream(const WatchStream &) = delete;
    WatchStream &operator=(const WatchStream &) = delete;

    /**
     * Waits for the next message.
     * @return a message, the error that ended the stream, or nothing after the timeout
     */
    std::optional<Result<gateway::WatchResponse>> next(std::chrono::milliseconds timeout);

private:
    void run(httplib::Request request);
    bool receive(std::string_view data);
    bool push(Result<gateway::WatchResponse> message);

    std::unique_ptr<httplib::Client> m_client;
    const std::size_t m_maxLineBytes;
    std::string m_line; ///< Used by the thread only.
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::deque<Result<gateway::WatchResponse>> m_messages;
    bool m_closed = false;
    std::thread m_thread;
};

} // namespace dragonflysill::internal
