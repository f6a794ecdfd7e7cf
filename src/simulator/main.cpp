#include <iostream>

#include "simulator/host.h"

int main() {
  std::ios::sync_with_stdio(false);
  return scheduling::simulator::Run(std::cin, std::cout, std::cerr);
}
