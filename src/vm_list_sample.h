// Reduces a long VM list to the part that one process stores.

#ifndef PLANTAIN_VM_LIST_SAMPLE_H_
#define PLANTAIN_VM_LIST_SAMPLE_H_

#include <vector>

#include "vm_list.h"

namespace plantain {

// Returns all rows of a list of up to 1,000 VMs. From a longer list it returns all rows of `zone`, the own zone, and
// from each other zone some entries and some endpoints of each pool. These are selected by rendezvous hashing, so that
// different processes store different ones. This bounds memory and work by the size of a zone instead of the fleet.
std::vector<VmListRow> SampleVmList(std::vector<VmListRow> rows, const VmId& self, const ZoneName& zone);

}  // namespace plantain

#endif  // PLANTAIN_VM_LIST_SAMPLE_H_
