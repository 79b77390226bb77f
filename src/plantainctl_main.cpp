#include <iostream>

#include "ctl_type.h"

int main(int argc, char** argv) {
  const std::vector<std::string> args(argv + 1, argv + argc);
  return static_cast<int>(plantain::RunCtl(args, {std::cout, std::cerr}, plantain::MakeHttpCtlPlatform));
}
