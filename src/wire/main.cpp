#include <iostream>

#include "wire/host.h"

int main() {
  std::ios::sync_with_stdio(false);
  return passbridge::wire::Run(std::cin, std::cout, std::cerr);
}
