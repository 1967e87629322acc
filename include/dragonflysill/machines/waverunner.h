#pragma once

#include "dragonflysill/machines/fencedwriter.h"
#include "dragonflysill/machines/fleetevent.h"
#include "dragonflysill/machines/fleetinputs.h"
#include "dragonflysill/machines/fleetstatus.h"
#include "dragonflysill/machines/poolleases.h"
#include "dragonflysill/machines/sharedbuffer.h"
#include "dragonflysill/machines/waveplanner.h"

#include <vector>

namespace dragonflysill {

/**
 * Advances the waves of all maintenance orders. One control process does this for the whole fleet,
 * so that two waves never use the same headroom. All state is in the store.
 */
class WaveRunner
{
public:
    /** The writer must outlive the object. */
    explicit WaveRunner(FencedWriter &writer)
        : m_writer(writer)
    {
    }

    /** Returns the stored waves without values that cannot be decoded. */
    static ByName<WaveProgress> stored(const StoreOverview &overview);

    /**
     * Computes and writes the next state of all waves.
     * @param condition the comparison that every write must contain
     * @param waves the stored waves; updated with the written ones
     * @param events receives the state changes
     * @return the status of every wave, ordered by name
     */
    std::vector<WaveStatus> run(const FleetInputs &inputs, const ByName<DeclaredInstance> &declared,
                                const SharedBuffer &buffer, const Compare &condition,
                                ByName<WaveProgress> &waves, std::vector<FleetEvent> &events);

private:
    bool write(const Compare &condition, const WaveProgress *before, const WaveProgress *after);

    FencedWriter &m_writer;
};

} // namespace dragonflysill
