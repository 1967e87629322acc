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
 * Executes the wave decision for all maintenance orders. One control process does it for the whole
 * fleet, so that two waves never count the same headroom. All its state is in the store.
 */
class WaveRunner
{
public:
    /** The writer must outlive the object. */
    explicit WaveRunner(FencedWriter &writer)
        : m_writer(writer)
    {
    }

    /** Returns the stored waves; a value that cannot be decoded is left out. */
    static ByName<WaveProgress> stored(const StoreOverview &overview);

    /**
     * Decides and writes all waves.
     * @param condition the comparison that every write must contain
     * @param waves the stored waves; replaced by what was written
     * @param events receives the changes of state
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
