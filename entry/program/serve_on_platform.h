// Defines ServeOnPlatform, which runs an entry instance on the users' platform.
#ifndef ENTRY_PROGRAM_SERVE_ON_PLATFORM_H_
#define ENTRY_PROGRAM_SERVE_ON_PLATFORM_H_

#include <string>

#include "entry/gateway_settings.h"

namespace anvilloom {

// Serves until SIGTERM or SIGINT, then drains and ends the process. On SIGHUP
// the settings file at `settings_path` is read again; a change takes effect at
// the next start. Throws boost::system::system_error if an address can't be
// bound.
[[noreturn]] void ServeOnPlatform(gateway_settings settings,
                                  const std::string& settings_path);

}  // namespace anvilloom

#endif  // ENTRY_PROGRAM_SERVE_ON_PLATFORM_H_
