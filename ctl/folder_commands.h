// Defines the commands that act on a folder of configuration files: check and
// publish.
#ifndef CTL_FOLDER_COMMANDS_H_
#define CTL_FOLDER_COMMANDS_H_

#include "ctl/arguments.h"
#include "ctl/exit_code.h"

namespace anvilloom {

exit_code CheckFolder(const ctl_arguments& arguments);
exit_code PublishFolder(const ctl_arguments& arguments);

}  // namespace anvilloom

#endif  // CTL_FOLDER_COMMANDS_H_
