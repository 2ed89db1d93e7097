#include "daemon/application.h"
#include "entry/entrydaemon.h"

#include <settings.pb.h>

int main(int argc, char** argv)
{
    Schema::EntryDaemonSettings settings;
    int exitCode = Daemon::ExitSuccess;
    if (!Daemon::loadSettings(argc, argv, "gqentryd", settings, exitCode))
        return exitCode;
    return Entry::EntryDaemon(settings).run();
}
