#pragma once

#include "dragonflysill/base/result.h"
#include "dragonflysill/base/stringhash.h"
#include "dragonflysill/peers/messages.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>

namespace dragonflysill {

/**
 * Encodes the batches of one direction of a connection. Workers are named once and numbered
 * afterwards, so the decoder must receive all batches in order.
 */
class PeerEncoder
{
public:
    std::string encode(const PeerBatch &batch);

    /** Returns the number of a worker and whether the decoder does not know it yet. */
    std::pair<std::uint32_t, bool> number(const WorkerTarget &worker);

private:
    StringMap<std::uint32_t> m_numbers; ///< By id and address.
};

/** Decodes the batches of one direction of a connection. */
class PeerDecoder
{
public:
    /** @return Corrupt if the bytes are no valid batch; the connection must then be closed */
    Result<PeerBatch> decode(std::string_view bytes);

private:
    std::unordered_map<std::uint32_t, WorkerTarget> m_workers;
};

} // namespace dragonflysill
