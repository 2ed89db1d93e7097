#pragma once

#include "options.h"

namespace Control {

/*! The commands of gqctl. Each prints its result and returns the exit code. */
int submitJob(const Options& options);
int jobStatus(const Options& options);
int cancelJob(const Options& options);
int getConfiguration(const Options& options);
int validateConfiguration(const Options& options);
int putConfiguration(const Options& options);
int listConfigurationHistory(const Options& options);
int drainVm(const Options& options);
int undrainVm(const Options& options);
int listMembers(const Options& options);
int burnReport(const Options& options);

} // namespace Control
