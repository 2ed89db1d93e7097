#include "daemon/application.h"
#include "scheduling/scheduledaemon.h"

#include <settings.pb.h>

int main(int argc, char** argv)
{
    Schema::ScheduleDaemonSettings settings;
    int exitCode = Daemon::ExitSuccess;
    if (!Daemon::loadSettings(argc, argv, "gqschedd", settings, exitCode))
        return exitCode;
    return Scheduling::ScheduleDaemon(settings).run();
}
