# Bash completion for geraniumslipd(8) and geraniumslip-routed(8).
_geraniumslip_daemon() {
	local cur=${COMP_WORDS[COMP_CWORD]} prev=${COMP_WORDS[COMP_CWORD - 1]}

	case "$prev" in
	-s | --settings) COMPREPLY=($(compgen -f -- "$cur")) ;;
	*) COMPREPLY=($(compgen -W "--settings --version --help" -- "$cur")) ;;
	esac
}
complete -F _geraniumslip_daemon geraniumslipd geraniumslip-routed
