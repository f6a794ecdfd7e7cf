#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")" || exit 2
rm -f record.txt
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=../site2 timeout -k 5 110 python3 case.py
case "$(tail -n 1 record.txt)" in
  "result: held") exit 0 ;;
  "result: broken") exit 1 ;;
  *) exit 2 ;;
esac
