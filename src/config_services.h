// Registers the configuration and membership services with the kernel.

#ifndef PLANTAIN_CONFIG_SERVICES_H_
#define PLANTAIN_CONFIG_SERVICES_H_

#include "kernel.h"
#include "process.h"

namespace plantain {

// Registers "config" (ConfigSource), which depends on "members".
void RegisterConfigServices(Kernel& kernel, ProcessParts& parts);

// Registers "members" (MemberSource) and "peers". "peers" depends on "config" and "self" (SelfSource).
void RegisterMemberServices(Kernel& kernel, ProcessParts& parts);

}  // namespace plantain

#endif  // PLANTAIN_CONFIG_SERVICES_H_
