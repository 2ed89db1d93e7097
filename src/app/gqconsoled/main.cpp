#include "console/consoledaemon.h"
#include "daemon/application.h"

#include <settings.pb.h>

int main(int argc, char** argv)
{
    Schema::ConsoleDaemonSettings settings;
    int exitCode = Daemon::ExitSuccess;
    if (!Daemon::loadSettings(argc, argv, "gqconsoled", settings, exitCode))
        return exitCode;
    return Console::ConsoleDaemon(settings).run();
}
