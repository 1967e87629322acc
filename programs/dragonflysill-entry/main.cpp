#include "entryprocess.h"

#include "dragonflysill/telemetry/log.h"
#include "dragonflysill/telemetry/stopsignal.h"

#include <cstdlib>

using namespace dragonflysill;

int main(int argc, char **argv)
{
    EntrySettings settings;
    if (const auto code = settings.parse(argc, argv))
        return *code;
    const StopSignal stopSignal;
    startLogging(settings.name, settings.logLevel);
    EntryProcess process(settings);
    if (const auto started = process.start(); !started.ok()) {
        logWarning("start-failed", {{"error", started.error().text()}});
        return EXIT_FAILURE;
    }
    stopSignal.wait();
    process.stop();
    return EXIT_SUCCESS;
}
