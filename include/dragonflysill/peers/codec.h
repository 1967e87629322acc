#pragma once

#include "dragonflysill/base/result.h"
#include "dragonflysill/base/stringhash.h"
#include "dragonflysill/peers/messages.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>

namespace dragonflysill {

/**
 * Encodes the batches of one direction of a connection. Workers and the payloads of jobs are sent
 * once and numbered afterwards, so the decoder must receive all batches in order.
 */
class PeerEncoder
{
public:
    std::string encode(const PeerBatch &batch);

    /** A number, and whether the decoder does not know yet what it stands for. */
    struct Number
    {
        std::uint32_t value = 0;
        bool isNew = false;
    };

    [[nodiscard]] Number workerNumber(const WorkerTarget &worker);
    [[nodiscard]] Number payloadNumber(const std::string &job);

private:
    StringMap<std::uint32_t> m_workers; ///< By id and address.
    StringMap<std::uint32_t> m_payloads; ///< By job.
    std::deque<std::string> m_payloadJobs; ///< Jobs in m_payloads, oldest first.
    std::uint32_t m_lastPayload = 0;
};

/** Decodes the batches of one direction of a connection. */
class PeerDecoder
{
public:
    /** @return Corrupt if the bytes are no valid batch; the connection must then be closed */
    Result<PeerBatch> decode(std::string_view bytes);

private:
    std::unordered_map<std::uint32_t, WorkerTarget> m_workers;
    std::map<std::uint32_t, std::string> m_payloads;
};

} // namespace dragonflysill
